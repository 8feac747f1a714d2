package org.cactusshift.systemtest;

import java.util.Random;
import org.cactusshift.id.AccountId;

/**
 * One call of the traffic of a fault test.
 *
 * @param kind the kind of request
 * @param account the client account
 * @param promptOrPaymentId the prompt of a chat or the payment id of a payout; empty for a balance query
 * @param maximumTokens the max_tokens of a chat, which the stand-in engines always reach; 0 for other kinds
 */
record TrafficCall(Kind kind, AccountId account, String promptOrPaymentId, int maximumTokens) {
    /** Kind of request. */
    enum Kind {
        /** A chat with a streamed response. */
        STREAMED_CHAT,
        /** A chat with a non-streamed response. */
        WHOLE_CHAT,
        /** A payout, sent with an idempotency key. */
        PAYOUT,
        /** A balance query, which is repeatable. */
        BALANCE
    }

    private static final int MINIMUM_TOKENS = 10;

    /** Number of different values of the maximum: chats generate 10 to 49 tokens. */
    private static final int TOKEN_COUNT_VALUES = 40;

    static TrafficCall of(Kind kind, AccountId account, String promptOrPaymentId, Random random) {
        boolean chat = kind == Kind.STREAMED_CHAT || kind == Kind.WHOLE_CHAT;
        return new TrafficCall(
                kind, account, promptOrPaymentId, chat ? MINIMUM_TOKENS + random.nextInt(TOKEN_COUNT_VALUES) : 0);
    }

    static TrafficCall payout(AccountId account, String paymentId) {
        return new TrafficCall(Kind.PAYOUT, account, paymentId, 0);
    }

    static TrafficCall stream(AccountId account, String prompt, int maximumTokens) {
        return new TrafficCall(Kind.STREAMED_CHAT, account, prompt, maximumTokens);
    }

    boolean isChat() {
        return kind == Kind.STREAMED_CHAT || kind == Kind.WHOLE_CHAT;
    }
}
