package org.cactusshift.id;

/** Checks the syntax that all identifiers share. */
final class Identifiers {
    private static final int MAXIMUM_LENGTH_CHARS = 128;

    private Identifiers() {}

    /** Throws IllegalArgumentException unless the value has 1 to 128 allowed characters; {@code kind} names the id. */
    static void check(String value, String kind) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(kind + " is empty");
        }
        if (value.length() > MAXIMUM_LENGTH_CHARS) {
            throw new IllegalArgumentException(kind + " is longer than " + MAXIMUM_LENGTH_CHARS + " characters");
        }
        for (int i = 0; i < value.length(); i++) {
            if (!isAllowed(value.charAt(i))) {
                throw new IllegalArgumentException(
                        kind + " has a character other than letters, digits, '.', '_', ':', '-'");
            }
        }
    }

    private static boolean isAllowed(char c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || c == '.'
                || c == '_'
                || c == ':'
                || c == '-';
    }
}
