package org.cactusshift.internal.coordination.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.id.AccountId;

/** Counts the tokens served to each client account and its open requests, since the dispatcher was created. */
final class AccountTotalsCounter {
    private final Map<AccountId, Total> totals = new LinkedHashMap<>();

    private static final class Total {
        private long prefillTokens;
        private long decodeTokens;
        private int openRequests;
    }

    void onOpened(AccountId account) {
        of(account).openRequests++;
    }

    void onClosed(AccountId account) {
        of(account).openRequests--;
    }

    void onPrefill(AccountId account, long tokens) {
        of(account).prefillTokens += tokens;
    }

    void onDecoded(AccountId account, long tokens) {
        of(account).decodeTokens += tokens;
    }

    List<AccountServiceTotals> list() {
        return totals.entrySet().stream()
                .map(entry -> new AccountServiceTotals(
                        entry.getKey(),
                        entry.getValue().prefillTokens,
                        entry.getValue().decodeTokens,
                        entry.getValue().openRequests))
                .toList();
    }

    private Total of(AccountId account) {
        return totals.computeIfAbsent(account, id -> new Total());
    }
}
