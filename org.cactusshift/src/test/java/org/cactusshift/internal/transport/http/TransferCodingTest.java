package org.cactusshift.internal.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TransferCodingTest {
    @Test
    void messageWithoutTheHeaderHasNone() {
        assertEquals(TransferCoding.NONE, TransferCoding.of(List.of(), false));
        assertEquals(TransferCoding.NONE, TransferCoding.of(List.of(), true));
    }

    /** Guards against a body whose end two parties see at different places. */
    @ParameterizedTest
    @CsvSource({
        "chunked, false, CHUNKED",
        "' Chunked\t', false, CHUNKED",
        "', ,chunked,', false, CHUNKED",
        "|chunked, false, CHUNKED",
        "'gzip, chunked', false, UNSUPPORTED",
        "gzip|chunked, false, UNSUPPORTED",
        "identity|chunked, false, UNSUPPORTED",
        "'', false, UNDELIMITED",
        "gzip, false, UNDELIMITED",
        "identity, false, UNDELIMITED",
        "xchunked, false, UNDELIMITED",
        "chunked;a=b, false, UNDELIMITED",
        "'chunked, gzip', false, UNDELIMITED",
        "chunked|chunked, false, UNDELIMITED",
        "'gzip, chunked, chunked', false, UNDELIMITED",
        "'\u000bchunked', false, UNDELIMITED",
        "chunked\u00a0, false, UNDELIMITED",
        "'a;b=\"c, chunked\"', false, UNDELIMITED",
        "chunked, true, UNDELIMITED"
    })
    void onlyChunksAloneInHttp11FrameABody(String values, boolean isBeforeHttp11, TransferCoding expected) {
        // The rows separate the headers with |.
        assertEquals(expected, TransferCoding.of(List.of(values.split("\\|", -1)), isBeforeHttp11));
    }
}
