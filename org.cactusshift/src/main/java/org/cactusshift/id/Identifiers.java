package org.cactusshift.id;

/** Checks the syntax that all identifiers share. */
final class Identifiers {
    private static final int MAXIMUM_LENGTH_CHARS = 128;

    private Identifiers() {}

    static void check(String value, String name) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(name + " is empty");
        }
        if (value.length() > MAXIMUM_LENGTH_CHARS) {
            throw new IllegalArgumentException(name + " is longer than " + MAXIMUM_LENGTH_CHARS + " characters");
        }
        if (!value.chars().allMatch(Identifiers::isAllowed)) {
            throw new IllegalArgumentException(
                    name + " has a character other than letters, digits, '.', '_', ':', '-'");
        }
    }

    private static boolean isAllowed(int c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || c == '.'
                || c == '_'
                || c == ':'
                || c == '-';
    }
}
