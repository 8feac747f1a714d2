package org.cactusshift.systemtest;

import java.util.Random;
import org.cactusshift.id.AccountId;

/**
 * One call of the traffic of a failure test.
 *
 * @param kind what is called
 * @param account the client account
 * @param subject the prompt of a chat, the payment id of a payout, empty for a balance
 * @param maximumTokens the length of the answer of a chat
 */
record SystemCall(Kind kind, AccountId account, String subject, int maximumTokens) {
    /** What is called. */
    enum Kind {
        /** A chat whose answer is streamed. */
        STREAMED_CHAT,
        /** A chat whose answer comes whole. */
        WHOLE_CHAT,
        /** A payout with an idempotency key. */
        PAYOUT,
        /** A balance, which may be read repeatedly. */
        BALANCE
    }

    private static final int MINIMUM_TOKENS = 10;

    private static final int TOKEN_RANGE = 40;

    static SystemCall of(Kind kind, AccountId account, String subject, Random random) {
        boolean chats = kind == Kind.STREAMED_CHAT || kind == Kind.WHOLE_CHAT;
        return new SystemCall(kind, account, subject, chats ? MINIMUM_TOKENS + random.nextInt(TOKEN_RANGE) : 0);
    }

    static SystemCall payout(AccountId account, String paymentId) {
        return new SystemCall(Kind.PAYOUT, account, paymentId, 0);
    }

    static SystemCall stream(AccountId account, String prompt, int tokens) {
        return new SystemCall(Kind.STREAMED_CHAT, account, prompt, tokens);
    }

    boolean isChat() {
        return kind == Kind.STREAMED_CHAT || kind == Kind.WHOLE_CHAT;
    }
}
