package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/** Encodes requests whose targets are those of callers, as the decoder read them: one character for each byte. */
final class RequestEncoder extends HttpRequestEncoder {
    @Override
    protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) {
        String line = request.method() + " " + request.uri() + " " + request.protocolVersion() + "\r\n";
        buffer.writeCharSequence(line, StandardCharsets.ISO_8859_1);
    }
}
