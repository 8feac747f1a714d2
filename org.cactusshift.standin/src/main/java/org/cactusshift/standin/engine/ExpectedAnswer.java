package org.cactusshift.standin.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The answer that every {@link StandInEngine} generates for a prompt.
 *
 * <p>Token <i>i</i> depends on the canonical prompt and on <i>i</i> alone, and has four characters: three of
 * {@code a-z0-9} and a space. Hence a test can check that a caller received the complete answer to its own request,
 * even when several engines generated parts of it.
 *
 * <p>The canonical prompt of a completion request is its prompt; that of a chat request is the text
 * {@code ROLE\nCONTENT\n} of each message, one after another.
 */
public final class ExpectedAnswer {
    /** The length of each token, in characters. */
    public static final int TOKEN_CHARS = 4;

    /** The number of tokens of an answer when the request sets no limit. */
    public static final int DEFAULT_TOKENS = 16;

    private static final String ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789";

    private static final int BYTE_MASK = 0xff;

    private static final int BYTE_BITS = 8;

    private final byte[] promptDigest;

    private ExpectedAnswer(byte[] promptDigest) {
        this.promptDigest = promptDigest;
    }

    /**
     * Returns the answer to a prompt.
     *
     * @param canonicalPrompt the canonical prompt as the caller sent it, without any text generated since
     * @return the answer
     */
    public static ExpectedAnswer forPrompt(String canonicalPrompt) {
        return new ExpectedAnswer(sha256().digest(canonicalPrompt.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Returns the answer to a chat with a single user message.
     *
     * @param content the content of the message
     * @return the answer
     */
    public static ExpectedAnswer forUserMessage(String content) {
        return forPrompt("user\n" + content + "\n");
    }

    /**
     * Returns one token.
     *
     * @param index the index of the token, from 0
     * @return four characters
     */
    public String token(int index) {
        MessageDigest digest = sha256();
        digest.update(promptDigest);
        for (int shift = 0; shift < Integer.SIZE; shift += BYTE_BITS) {
            digest.update((byte) (index >>> shift));
        }
        byte[] hash = digest.digest();
        StringBuilder token = new StringBuilder(TOKEN_CHARS);
        for (int i = 0; i < TOKEN_CHARS - 1; i++) {
            token.append(ALPHABET.charAt((hash[i] & BYTE_MASK) % ALPHABET.length()));
        }
        return token.append(' ').toString();
    }

    /**
     * Returns the first tokens of the answer.
     *
     * @param tokens the number of tokens
     * @return the text
     */
    public String text(int tokens) {
        StringBuilder text = new StringBuilder(tokens * TOKEN_CHARS);
        for (int i = 0; i < tokens; i++) {
            text.append(token(i));
        }
        return text.toString();
    }

    /**
     * Returns whether a text is a prefix of this answer that ends with a complete token.
     *
     * @param text the text
     * @return true if it is such a prefix
     */
    public boolean startsWith(String text) {
        if (text.length() % TOKEN_CHARS != 0) {
            return false;
        }
        for (int i = 0; i < text.length() / TOKEN_CHARS; i++) {
            if (!text.startsWith(token(i), i * TOKEN_CHARS)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the length of the longest suffix of a text that has the form of tokens.
     *
     * @param text the text
     * @return a multiple of {@link #TOKEN_CHARS}
     */
    static int tokenLikeSuffixLength(String text) {
        int length = 0;
        while (text.length() - length >= TOKEN_CHARS && isTokenLike(text, text.length() - length - TOKEN_CHARS)) {
            length += TOKEN_CHARS;
        }
        return length;
    }

    private static boolean isTokenLike(String text, int start) {
        for (int i = 0; i < TOKEN_CHARS - 1; i++) {
            if (ALPHABET.indexOf(text.charAt(start + i)) < 0) {
                return false;
            }
        }
        return text.charAt(start + TOKEN_CHARS - 1) == ' ';
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
