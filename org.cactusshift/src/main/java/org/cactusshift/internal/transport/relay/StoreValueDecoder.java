package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import org.cactusshift.internal.coordination.serving.ServingConfig;
import org.cactusshift.internal.coordination.serving.UpstreamEntry;

/** Reads what the platform's store holds about a site. Decides nothing. */
public interface StoreValueDecoder {
    /**
     * Returns the key of the configuration.
     *
     * @return the key
     */
    String configKey();

    /**
     * Returns the start of the keys of upstreams; the rest of a key is the upstream's id.
     *
     * @return the prefix
     */
    String upstreamPrefix();

    /**
     * Reads a configuration.
     *
     * @param value the bytes
     * @return the configuration, or what is wrong with it
     */
    Either<String, ServingConfig> config(byte[] value);

    /**
     * Reads an upstream's entry.
     *
     * @param id the id in the key
     * @param value the bytes
     * @return the entry, or what is wrong with it
     */
    Either<String, UpstreamEntry> upstream(String id, byte[] value);
}
