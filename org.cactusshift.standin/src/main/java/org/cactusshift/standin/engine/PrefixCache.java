package org.cactusshift.standin.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/** The prefixes whose KV cache an engine still holds, least recently used first; not for several threads. */
final class PrefixCache {
    /** The size of one piece of memory. */
    static final int BLOCK_TOKENS = 2048;

    private static final int BLOCK_CHARS = 8192;

    private final LinkedHashSet<Long> prefixHashes = new LinkedHashSet<>();

    private final CacheEventLog events;

    PrefixCache(CacheEventLog events) {
        this.events = events;
    }

    /** Returns the hashes of the prefixes of a prompt, one for each whole piece. */
    static List<Long> prefixHashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        MessageDigest digest = sha256();
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            digest.update(prompt.substring(end - BLOCK_CHARS, end).getBytes(StandardCharsets.UTF_8));
            hashes.add(ByteBuffer.wrap(copyOf(digest).digest()).getLong());
        }
        return hashes;
    }

    /** Returns how many pieces at the start of a prompt are held, and makes them the most recently used. */
    int countHits(List<Long> hashes) {
        int held = 0;
        while (held < hashes.size() && prefixHashes.remove(hashes.get(held))) {
            prefixHashes.add(hashes.get(held));
            held++;
        }
        return held;
    }

    /** Stores the prefixes of a prompt in the memory that is free. */
    void store(List<Long> hashes, int freePieces, long nowMillis) {
        for (Long hash : hashes) {
            if (prefixHashes.remove(hash)) {
                prefixHashes.add(hash);
            } else if (freePieces > 0) {
                evictDownTo(freePieces - 1, nowMillis);
                prefixHashes.add(hash);
                events.add(CacheEventLog.Kind.STORED, hash, nowMillis);
            }
        }
    }

    /** Evicts the least recently used prefixes until few enough are left. */
    void evictDownTo(int pieces, long nowMillis) {
        Iterator<Long> oldest = prefixHashes.iterator();
        while (prefixHashes.size() > pieces) {
            events.add(CacheEventLog.Kind.EVICTED, oldest.next(), nowMillis);
            oldest.remove();
        }
    }

    /** Forgets everything. */
    void clear(long nowMillis) {
        prefixHashes.clear();
        events.add(CacheEventLog.Kind.CLEARED, 0, nowMillis);
    }

    private static MessageDigest copyOf(MessageDigest digest) {
        try {
            return (MessageDigest) digest.clone();
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("SHA-256 can be cloned", e);
        }
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
