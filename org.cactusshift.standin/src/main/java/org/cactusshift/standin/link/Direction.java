package org.cactusshift.standin.link;

/** Direction of the bytes that a {@link TcpRelay} forwards. */
public enum Direction {
    /** From the side that opened the connection to the relay's target. */
    TO_TARGET,
    /** From the target to the side that opened the connection. */
    FROM_TARGET
}
