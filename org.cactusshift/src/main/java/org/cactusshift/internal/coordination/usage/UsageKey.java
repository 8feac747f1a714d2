package org.cactusshift.internal.coordination.usage;

import java.util.Comparator;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;

/**
 * The key by which usage is aggregated.
 *
 * @param account the client account
 * @param service the service
 */
public record UsageKey(AccountId account, ServiceId service) implements Comparable<UsageKey> {
    private static final Comparator<UsageKey> ORDER =
            Comparator.comparing(UsageKey::account).thenComparing(UsageKey::service);

    @Override
    public int compareTo(UsageKey other) {
        return ORDER.compare(this, other);
    }
}
