package org.cactusshift.id;

/**
 * Identifies the version of the software that an upstream runs, as opposed to the version of its model's weights. What
 * upstreams of two versions write does not fit together.
 *
 * @param value the text of the version, empty when the upstream states none
 */
public record SoftwareVersion(String value) {
    /** The version of upstreams that state none. */
    public static final SoftwareVersion UNSTATED = new SoftwareVersion("");

    private static final int MAXIMUM_LENGTH = 128;

    /** Throws IllegalArgumentException if the text is too long. */
    public SoftwareVersion {
        if (value.length() > MAXIMUM_LENGTH) {
            throw new IllegalArgumentException("a software version has at most " + MAXIMUM_LENGTH + " characters");
        }
    }

    /**
     * Returns the version with the given text.
     *
     * @param value the text
     * @return the version
     * @throws IllegalArgumentException if the text is too long
     */
    public static SoftwareVersion fromString(String value) {
        return new SoftwareVersion(value);
    }

    // The methods that are generated for a record are linked at run time, which is slow at the start of a node.
    @Override
    public boolean equals(Object other) {
        return other instanceof SoftwareVersion that && value.equals(that.value);
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
