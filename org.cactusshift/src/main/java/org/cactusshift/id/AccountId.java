package org.cactusshift.id;

/**
 * Identifies a client account.
 *
 * @param value the identifier, 1 to 128 characters of letters, digits, '.', '_', ':' and '-'
 */
public record AccountId(String value) implements Comparable<AccountId> {
    /** Throws IllegalArgumentException if the text is empty, too long or has other characters. */
    public AccountId {
        Identifiers.check(value, "account id");
    }

    /**
     * Returns the account id with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     * @throws IllegalArgumentException if the text is empty, too long or has other characters
     */
    public static AccountId fromString(String value) {
        return new AccountId(value);
    }

    @Override
    public int compareTo(AccountId other) {
        return value.compareTo(other.value);
    }

    // The methods that are generated for a record are linked at run time, which is slow at the start of a node.
    @Override
    public boolean equals(Object other) {
        return other instanceof AccountId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
