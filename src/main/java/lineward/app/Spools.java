package lineward.app;

import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;
import lineward.mysql.MysqlConfig;
import lineward.spool.Spool;
import lineward.spool.store.SegmentStore;
import lineward.spool.store.SpoolFolder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Wires a spool: its folder, the workers on its files, what an earlier process left there. */
final class Spools {
    private static final Logger LOG = LoggerFactory.getLogger(Spools.class);

    private Spools() {}

    /**
     * Opens a spool. A folder that can't be used costs the files, not the front: results then stay in memory.
     *
     * @param loop on which the spool is used
     * @throws ConfigException if another process holds the folder
     */
    static Spool open(MysqlConfig.Spooling config, Executor loop, DoubleSupplier clock) {
        if (config.folder() == null) {
            return new Spool(config.limits(), null, clock);
        }
        SpoolFolder folder;
        SpoolFolder.Recovered found;
        try {
            folder = SpoolFolder.take(config.folder());
            found = folder.recover();
        } catch (SpoolFolder.HeldException e) {
            throw new ConfigException(e.getMessage());
        } catch (IOException e) {
            LOG.warn("{}: results stay in memory", e.getMessage());
            return new Spool(config.limits(), null, clock);
        }
        Spool spool = new Spool(config.limits(), new SegmentStore(folder, loop), clock);
        spool.restore(found);
        return spool;
    }
}
