package org.cactusshift.systemtest;

import java.util.Random;
import org.cactusshift.id.AccountId;

/**
 * One call of the traffic of a fault test.
 *
 * @param kind the kind of request
 * @param account the client account
 * @param subject the prompt of a chat, the payment id of a payout, empty for a balance
 * @param maximumTokens the number of tokens that a chat generates; 0 for other kinds
 */
record TrafficCall(Kind kind, AccountId account, String subject, int maximumTokens) {
    /** Kind of request. */
    enum Kind {
        /** A chat with a streamed response. */
        STREAMED_CHAT,
        /** A chat with a response that is not streamed. */
        WHOLE_CHAT,
        /** A payout, sent with an idempotency key. */
        PAYOUT,
        /** A balance query, which is repeatable. */
        BALANCE
    }

    private static final int MINIMUM_TOKENS = 10;

    private static final int TOKEN_RANGE = 40;

    static TrafficCall of(Kind kind, AccountId account, String subject, Random random) {
        boolean chat = kind == Kind.STREAMED_CHAT || kind == Kind.WHOLE_CHAT;
        return new TrafficCall(kind, account, subject, chat ? MINIMUM_TOKENS + random.nextInt(TOKEN_RANGE) : 0);
    }

    static TrafficCall payout(AccountId account, String paymentId) {
        return new TrafficCall(Kind.PAYOUT, account, paymentId, 0);
    }

    static TrafficCall stream(AccountId account, String prompt, int tokens) {
        return new TrafficCall(Kind.STREAMED_CHAT, account, prompt, tokens);
    }

    boolean isChat() {
        return kind == Kind.STREAMED_CHAT || kind == Kind.WHOLE_CHAT;
    }
}
