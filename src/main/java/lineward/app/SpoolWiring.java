package lineward.app;

import java.io.IOException;
import lineward.mysql.MysqlConfig;
import lineward.spool.Spool;
import lineward.spool.store.SegmentStore;
import lineward.spool.store.SpoolFolder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Wires the spool: its folder, the threads that read and write it, and the recovery of an earlier process's
 * results.
 */
final class SpoolWiring {
    private static final Logger LOG = LoggerFactory.getLogger(SpoolWiring.class);

    private SpoolWiring() {}

    /**
     * Opens the spool, which is used on the event loop and closed at shutdown. Without a usable folder,
     * results stay in memory.
     *
     * @throws ConfigException if another process uses the folder
     */
    static Spool open(FrontEndContext context, MysqlConfig.SpoolConfig config) {
        Spool spool = config.folder() == null ? inMemory(context, config) : onFiles(context, config);
        context.closeables().add(spool);
        context.metrics().setSpool(spool::statistics);
        return spool;
    }

    private static Spool inMemory(FrontEndContext context, MysqlConfig.SpoolConfig config) {
        return new Spool(config.limits(), null, context.clock());
    }

    private static Spool onFiles(FrontEndContext context, MysqlConfig.SpoolConfig config) {
        SpoolFolder folder;
        SpoolFolder.Contents recovered;
        try {
            folder = SpoolFolder.acquire(config.folder());
            recovered = folder.recover();
        } catch (SpoolFolder.LockedException e) {
            throw ConfigException.unusable(e.getMessage(), e);
        } catch (IOException e) {
            LOG.warn("spool folder not usable, results stay in memory: cause={}", e.getMessage());
            return inMemory(context, config);
        }
        SegmentStore store = new SegmentStore(folder, context.eventLoop());
        Spool spool = new Spool(config.limits(), store, context.clock());
        spool.restore(recovered);
        return spool;
    }
}
