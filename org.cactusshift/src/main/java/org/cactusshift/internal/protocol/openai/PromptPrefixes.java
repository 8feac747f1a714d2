package org.cactusshift.internal.protocol.openai;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;

/**
 * Hashes the prefixes of a canonical prompt, one for each complete block. Each hash covers the prompt from its start to
 * the end of the block.
 */
final class PromptPrefixes {
    /** The length of a KV-cache block of 2,048 tokens, at the 4 characters per token of {@link TokenUsage}. */
    private static final int BLOCK_CHARS = 8192;

    private PromptPrefixes() {}

    static List<Long> hashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        MessageDigest running = sha256();
        int digested = 0;
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            // A surrogate pair across the end of a block is added whole to the running digest, with the next block. The
            // hash of this block covers the first half alone, which is encoded as '?'.
            boolean splitsPair = Character.isHighSurrogate(prompt.charAt(end - 1));
            int digestEnd = splitsPair ? end - 1 : end;
            running.update(prompt.substring(digested, digestEnd).getBytes(StandardCharsets.UTF_8));
            digested = digestEnd;
            MessageDigest block = copy(running);
            block.update(prompt.substring(digestEnd, end).getBytes(StandardCharsets.UTF_8));
            hashes.add(ByteBuffer.wrap(block.digest()).getLong());
        }
        return hashes;
    }

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform lacks SHA-256", e);
        }
    }

    private static MessageDigest copy(MessageDigest digest) {
        try {
            return (MessageDigest) digest.clone();
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("the SHA-256 digest can't be cloned", e);
        }
    }
}
