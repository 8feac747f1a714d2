package org.cactusshift.internal.protocol.openai;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;

/** Hashes of the prefixes of a canonical prompt, one for each whole piece of 2,048 tokens. */
final class PromptPrefixes {
    private static final int BLOCK_CHARS = 8192;

    private PromptPrefixes() {}

    static List<Long> hashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        MessageDigest running = sha256();
        int digested = 0;
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            // A pair of surrogates that straddles the end is left for the next piece, so that it stays whole there.
            boolean splitsPair = Character.isHighSurrogate(prompt.charAt(end - 1));
            int wholeEnd = splitsPair ? end - 1 : end;
            running.update(prompt.substring(digested, wholeEnd).getBytes(StandardCharsets.UTF_8));
            digested = wholeEnd;
            MessageDigest piece = copy(running);
            piece.update(prompt.substring(wholeEnd, end).getBytes(StandardCharsets.UTF_8));
            hashes.add(ByteBuffer.wrap(piece.digest()).getLong());
        }
        return hashes;
    }

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    private static MessageDigest copy(MessageDigest digest) {
        try {
            return (MessageDigest) digest.clone();
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("the platform's SHA-256 can be copied", e);
        }
    }
}
