package lineward.spool;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Accounts for the bytes and files of all results: by result, by user, in memory and on disk. Every byte
 * added is subtracted again, at the latest by {@link #closeAccount}.
 */
final class SpoolUsage {
    /** By result id, in the order in which the accounts were opened. */
    private final Map<Long, ResultAccount> accounts = new LinkedHashMap<>();

    private final Map<String, Long> bytesByUser = new HashMap<>();
    private long lastId;
    private long memoryBytes;
    private long fileBytes;
    private int fileCount;

    /** Opens an account and returns the id of its result. */
    long openAccount(String user, boolean keyed, double nowMs) {
        lastId++;
        accounts.put(lastId, new ResultAccount(user, keyed, nowMs));
        return lastId;
    }

    /** Returns the account of a result, or null once it is closed. */
    ResultAccount account(long id) {
        return accounts.get(id);
    }

    /** Closes an account and subtracts its bytes and file; returns it, or null if it was already closed. */
    ResultAccount closeAccount(long id) {
        ResultAccount account = accounts.remove(id);
        if (account != null) {
            addToMemory(account, -account.memoryBytes());
            addToFile(account, -account.fileBytes());
            fileCount -= account.hasFile() ? 1 : 0;
        }
        return account;
    }

    void addToMemory(ResultAccount account, long bytes) {
        account.addMemoryBytes(bytes);
        memoryBytes += bytes;
        addToUser(account, bytes);
    }

    void addToFile(ResultAccount account, long bytes) {
        account.addFileBytes(bytes);
        fileBytes += bytes;
        addToUser(account, bytes);
    }

    private void addToUser(ResultAccount account, long bytes) {
        bytesByUser.merge(account.user(), bytes, Long::sum);
        bytesByUser.remove(account.user(), 0L);
    }

    /** Counts the file of a result, once. */
    void addFile(ResultAccount account) {
        if (!account.hasFile()) {
            account.addFile();
            fileCount++;
        }
    }

    Map<Long, ResultAccount> accountsById() {
        return Collections.unmodifiableMap(accounts);
    }

    Collection<ResultAccount> accounts() {
        return accountsById().values();
    }

    int resultCount() {
        return accounts.size();
    }

    long bytesOf(String user) {
        return bytesByUser.getOrDefault(user, 0L);
    }

    long bytes() {
        return memoryBytes + fileBytes;
    }

    long memoryBytes() {
        return memoryBytes;
    }

    long fileBytes() {
        return fileBytes;
    }

    int fileCount() {
        return fileCount;
    }
}
