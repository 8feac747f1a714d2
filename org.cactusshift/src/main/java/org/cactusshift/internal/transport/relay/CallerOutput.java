package org.cactusshift.internal.transport.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.WriteBufferWaterMark;
import org.cactusshift.internal.coordination.limits.BufferLimit;

/** What one caller has not read yet: counts it against the node's limit, and notices when nothing is read any more. */
final class CallerOutput {
    /**
     * How much is read from an upstream ahead of a slow caller, so that the upstream does not cut off an intact
     * response; it is read on when the lower mark is reached. Netty counts each part with its overhead.
     */
    static final WriteBufferWaterMark BUFFER = new WriteBufferWaterMark(128 * 1_024, 256 * 1_024);

    /** What a caller may have pending without being counted: less than the system's own socket buffer. */
    private static final long UNCOUNTED_BYTES = 32 * 1_024;

    private final Channel channel;
    private final BufferLimit.Account account;
    private long pendingBytes;
    private long partProgressBytes;

    /** When a change of what is pending was last seen, or when nothing was pending. */
    private long progressAtMillis;

    CallerOutput(Channel channel, BufferLimit.Account account, long nowMillis) {
        this.channel = channel;
        this.account = account;
        this.progressAtMillis = nowMillis;
    }

    /** Records what is pending now; called after each write and periodically. */
    void update(long nowMillis) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        long nowPending = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        long nowPartProgress = buffer == null ? 0 : buffer.currentProgress();
        if (nowPending == 0 || nowPending < pendingBytes || nowPartProgress != partProgressBytes) {
            progressAtMillis = nowMillis;
        }
        pendingBytes = nowPending;
        partProgressBytes = nowPartProgress;
        account.hold(nowPending > UNCOUNTED_BYTES ? nowPending : 0, nowMillis);
    }

    /** Returns for how long the caller has read nothing of what is pending. */
    long stalledMillis(long nowMillis) {
        return pendingBytes == 0 ? 0 : nowMillis - progressAtMillis;
    }

    long pendingBytes() {
        return pendingBytes;
    }

    void close() {
        account.close();
    }
}
