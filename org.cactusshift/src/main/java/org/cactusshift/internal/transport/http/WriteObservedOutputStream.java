package org.cactusshift.internal.transport.http;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/**
 * Notifies an observer before and after each write to a socket. The observer sets the write deadline and records that
 * bytes may have been sent.
 */
final class WriteObservedOutputStream extends FilterOutputStream {
    /** Is notified when a write starts and ends. */
    interface WriteObserver {
        void onWriteStart();

        void onWriteEnd();
    }

    private final WriteObserver observer;

    WriteObservedOutputStream(OutputStream out, WriteObserver observer) {
        super(out);
        this.observer = observer;
    }

    @Override
    public void write(int b) throws IOException {
        write(new byte[] {(byte) b}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
        observer.onWriteStart();
        try {
            out.write(bytes, offset, length);
        } finally {
            observer.onWriteEnd();
        }
    }

    @Override
    public void flush() throws IOException {
        observer.onWriteStart();
        try {
            out.flush();
        } finally {
            observer.onWriteEnd();
        }
    }
}
