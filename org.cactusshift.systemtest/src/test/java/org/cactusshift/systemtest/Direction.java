package org.cactusshift.systemtest;

/** A direction through a {@link TcpRelay}. */
public enum Direction {
    /** From the side that opened the connection to the target. */
    TO_TARGET,
    /** From the target back. */
    FROM_TARGET
}
