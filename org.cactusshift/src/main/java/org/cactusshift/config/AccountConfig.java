package org.cactusshift.config;

import java.util.List;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;

/**
 * The configuration of a client account.
 *
 * @param id the client account
 * @param weight the share of capacity relative to other client accounts, above 0
 * @param tokensPerSecond the sustained limit on prompt and output tokens per second, over the whole site
 * @param maximumConcurrentRequests the limit on requests in flight, over the whole site
 * @param services the services that the account may call
 * @param keys the client keys of the account
 */
public record AccountConfig(
        AccountId id,
        double weight,
        long tokensPerSecond,
        int maximumConcurrentRequests,
        List<ServiceId> services,
        List<KeyConfig> keys) {
    /** Copies the lists. */
    public AccountConfig {
        services = List.copyOf(services);
        keys = List.copyOf(keys);
    }
}
