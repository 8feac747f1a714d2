package org.cactusshift.standin.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/** The prefixes whose KV cache an engine holds, least recently used first; not thread-safe. */
final class PrefixCache {
    /** The size of a KV-cache block. */
    static final int BLOCK_TOKENS = 2048;

    private static final int BLOCK_CHARS = 8192;

    private final LinkedHashSet<Long> prefixHashes = new LinkedHashSet<>();

    private final CacheEventLog events;

    PrefixCache(CacheEventLog events) {
        this.events = events;
    }

    /** Returns the hashes of the prefixes of a prompt, one for each full block. */
    static List<Long> prefixHashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        MessageDigest digest = sha256();
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            digest.update(prompt.substring(end - BLOCK_CHARS, end).getBytes(StandardCharsets.UTF_8));
            hashes.add(ByteBuffer.wrap(copyOf(digest).digest()).getLong());
        }
        return hashes;
    }

    /** Returns the number of cached blocks at the start of a prompt and marks them as the most recently used. */
    int countHits(List<Long> hashes) {
        int hits = 0;
        while (hits < hashes.size() && prefixHashes.remove(hashes.get(hits))) {
            prefixHashes.add(hashes.get(hits));
            hits++;
        }
        return hits;
    }

    /** Stores the prefixes of a prompt in the free blocks. */
    void store(List<Long> hashes, int freeBlocks, long nowMillis) {
        for (Long hash : hashes) {
            if (prefixHashes.remove(hash)) {
                prefixHashes.add(hash);
            } else if (freeBlocks > 0) {
                evictDownTo(freeBlocks - 1, nowMillis);
                prefixHashes.add(hash);
                events.add(CacheEventLog.Kind.STORED, hash, nowMillis);
            }
        }
    }

    /** Evicts the least recently used prefixes until at most a number of blocks is in use. */
    void evictDownTo(int blocks, long nowMillis) {
        Iterator<Long> oldest = prefixHashes.iterator();
        while (prefixHashes.size() > blocks) {
            events.add(CacheEventLog.Kind.EVICTED, oldest.next(), nowMillis);
            oldest.remove();
        }
    }

    /** Evicts all prefixes. */
    void clear(long nowMillis) {
        prefixHashes.clear();
        events.add(CacheEventLog.Kind.CLEARED, 0, nowMillis);
    }

    private static MessageDigest copyOf(MessageDigest digest) {
        try {
            return (MessageDigest) digest.clone();
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("SHA-256 digests cannot be cloned", e);
        }
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
