package org.cactusshift.internal.coordination.order;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/**
 * The durable record of an ordering duty, serialized as JSON.
 *
 * @param outstanding the outstanding orders, at most one per target
 */
record OrderRecord(List<Order> outstanding) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    static OrderRecord fromBytes(byte[] bytes) {
        if (bytes.length == 0) {
            return new OrderRecord(List.of());
        }
        try {
            return MAPPER.readValue(bytes, OrderRecord.class);
        } catch (IOException e) {
            throw new UncheckedIOException("order record can't be parsed", e);
        }
    }

    byte[] toBytes() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("order record can't be serialized", e);
        }
    }
}
