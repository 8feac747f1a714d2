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
    /** The size of a KV-cache block, in tokens. */
    static final int BLOCK_TOKENS = 2048;

    /** The size of a KV-cache block, in characters: {@link #BLOCK_TOKENS} tokens of 4 characters each. */
    private static final int BLOCK_CHARS = 8192;

    private final LinkedHashSet<Long> cachedHashes = new LinkedHashSet<>();

    private final CacheEventLog events;

    PrefixCache(CacheEventLog events) {
        this.events = events;
    }

    /**
     * Returns one hash for each full block of a prompt: the first 8 bytes of SHA-256 of the text up to the block's end.
     */
    static List<Long> prefixHashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        MessageDigest digest = sha256();
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            digest.update(prompt.substring(end - BLOCK_CHARS, end).getBytes(StandardCharsets.UTF_8));
            hashes.add(ByteBuffer.wrap(copyOf(digest).digest()).getLong());
        }
        return hashes;
    }

    /** Marks the cached blocks at the start of a prompt as the most recently used and returns their number. */
    int useCachedBlocks(List<Long> hashes) {
        int hits = 0;
        while (hits < hashes.size() && cachedHashes.remove(hashes.get(hits))) {
            cachedHashes.add(hashes.get(hits));
            hits++;
        }
        return hits;
    }

    /**
     * Stores the prefixes of a prompt. Before each new one, evicts the least recently used ones until a block of the
     * capacity is free; stores no new ones if the capacity is 0.
     */
    void store(List<Long> hashes, int capacityBlocks, long nowMillis) {
        for (Long hash : hashes) {
            if (cachedHashes.remove(hash)) {
                cachedHashes.add(hash);
            } else if (capacityBlocks > 0) {
                evictDownTo(capacityBlocks - 1, nowMillis);
                cachedHashes.add(hash);
                events.add(CacheEventLog.Kind.STORED, hash, nowMillis);
            }
        }
    }

    /** Evicts the least recently used prefixes until at most a number of blocks is in use. */
    void evictDownTo(int blocks, long nowMillis) {
        Iterator<Long> oldest = cachedHashes.iterator();
        while (cachedHashes.size() > blocks) {
            events.add(CacheEventLog.Kind.EVICTED, oldest.next(), nowMillis);
            oldest.remove();
        }
    }

    /** Evicts all prefixes. */
    void clear(long nowMillis) {
        cachedHashes.clear();
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
