package org.cactusshift.standin.engine;

import java.util.Optional;
import org.cactusshift.config.UpstreamConfig.Role;

/**
 * The settings of a {@link StandInEngine}.
 *
 * @param engineId the id of the engine
 * @param port the port; 0 lets the operating system choose
 * @param model the model that it serves
 * @param version the model version that is loaded at the start
 * @param role the role at the start
 * @param memoryBlocks the size of the KV cache, in blocks of 2,048 tokens
 * @param checksFencing whether it rejects orders with a stale fencing number
 * @param weightStoreAddress the address of the weight store from which versions are loaded; empty to skip the load
 * @param timing the rates and delays
 */
public record EngineSettings(
        String engineId,
        int port,
        String model,
        String version,
        Role role,
        int memoryBlocks,
        boolean checksFencing,
        Optional<String> weightStoreAddress,
        EngineTiming timing) {
    private static final int DEFAULT_MEMORY_BLOCKS = 64;

    /** Checks that there is at least one block. */
    public EngineSettings {
        if (memoryBlocks < 1) {
            throw new IllegalArgumentException("memoryBlocks must be at least 1");
        }
    }

    /**
     * Returns the settings of an engine in the mixed role that checks fencing numbers.
     *
     * @param engineId the id of the engine
     * @param model the model that it serves
     * @param timing the rates and delays
     * @return the settings
     */
    public static EngineSettings mixed(String engineId, String model, EngineTiming timing) {
        return new EngineSettings(
                engineId, 0, model, "1", Role.MIXED, DEFAULT_MEMORY_BLOCKS, true, Optional.empty(), timing);
    }

    /**
     * Returns these settings with another role and cache size.
     *
     * @param role the role at the start
     * @param memoryBlocks the size of the KV cache, in blocks
     * @return the settings
     */
    public EngineSettings withRole(Role role, int memoryBlocks) {
        return new EngineSettings(
                engineId, port, model, version, role, memoryBlocks, checksFencing, weightStoreAddress, timing);
    }

    /**
     * Returns these settings with the check of fencing numbers on or off.
     *
     * @param checksFencing whether it rejects orders with a stale fencing number
     * @return the settings
     */
    public EngineSettings withFencing(boolean checksFencing) {
        return new EngineSettings(
                engineId, port, model, version, role, memoryBlocks, checksFencing, weightStoreAddress, timing);
    }

    /**
     * Returns these settings with a weight store.
     *
     * @param version the version loaded at the start
     * @param weightStoreAddress the address of the weight store, from which later versions are loaded
     * @return the settings
     */
    public EngineSettings withWeights(String version, Optional<String> weightStoreAddress) {
        return new EngineSettings(
                engineId, port, model, version, role, memoryBlocks, checksFencing, weightStoreAddress, timing);
    }
}
