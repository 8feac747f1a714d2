package org.cactusshift.internal.transport.http;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/** Sets a deadline around each write to a socket, and notes before the first that bytes may leave. */
final class WriteObservedOutputStream extends FilterOutputStream {
    /** Is told when a write starts and ends. */
    interface WriteObserver {
        void beginWrite();

        void endWrite();
    }

    private final WriteObserver guard;

    WriteObservedOutputStream(OutputStream out, WriteObserver guard) {
        super(out);
        this.guard = guard;
    }

    @Override
    public void write(int b) throws IOException {
        write(new byte[] {(byte) b}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
        guard.beginWrite();
        try {
            out.write(bytes, offset, length);
        } finally {
            guard.endWrite();
        }
    }

    @Override
    public void flush() throws IOException {
        guard.beginWrite();
        try {
            out.flush();
        } finally {
            guard.endWrite();
        }
    }
}
