package org.cactusshift.id;

/**
 * Identifies a site: a deployment with its own configuration, failure domains, client accounts and upstreams.
 *
 * @param value the identifier, 1 to 128 characters of letters, digits, '.', '_', ':' and '-'
 */
public record SiteId(String value) implements Comparable<SiteId> {
    /** Throws IllegalArgumentException if the text is empty, too long or has other characters. */
    public SiteId {
        Identifiers.check(value, "site id");
    }

    /**
     * Returns the site id with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     * @throws IllegalArgumentException if the text is empty, too long or has other characters
     */
    public static SiteId fromString(String value) {
        return new SiteId(value);
    }

    @Override
    public int compareTo(SiteId other) {
        return value.compareTo(other.value);
    }

    // The methods that are generated for a record are linked at run time, which is slow at the start of a node.
    @Override
    public boolean equals(Object other) {
        return other instanceof SiteId that && value.equals(that.value);
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
