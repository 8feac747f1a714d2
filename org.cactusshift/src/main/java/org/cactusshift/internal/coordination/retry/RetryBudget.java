package org.cactusshift.internal.coordination.retry;

/**
 * Limits retries to a share of the requests plus a reserve, as a token bucket.
 *
 * <p>Each request adds the ratio to the balance, each retry takes one, and the balance is bounded by the reserve. Over
 * any period, retries are at most the ratio times the requests plus the reserve. The relay uses
 * {@link org.cactusshift.internal.coordination.serving.WindowedRetryBudget} instead.
 */
public final class RetryBudget {
    private final double ratio;
    private final double reserve;
    private double balance;

    private RetryBudget(double ratio, double reserve) {
        this.ratio = ratio;
        this.reserve = reserve;
        this.balance = reserve;
    }

    /**
     * Returns a budget whose reserve is full.
     *
     * @param ratio the maximum number of retries as a share of requests, 0 to 1; 0 allows no retries
     * @param reserveRetries the maximum number of retries that can accumulate; 0 allows no retries
     * @return the budget
     * @throws IllegalArgumentException if the ratio is outside 0 to 1 or the reserve is negative
     */
    public static RetryBudget create(double ratio, int reserveRetries) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("retry ratio must be 0 to 1: " + ratio);
        }
        if (reserveRetries < 0) {
            throw new IllegalArgumentException("retry reserve must not be negative: " + reserveRetries);
        }
        return new RetryBudget(ratio, ratio == 0 ? 0 : reserveRetries);
    }

    /** Adds the share of one new request to the balance. */
    public void onRequest() {
        balance = Math.min(reserve, balance + ratio);
    }

    /**
     * Takes one retry from the budget, if one is left.
     *
     * @return whether the retry is allowed; false when the budget is exhausted
     */
    public boolean tryRetry() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
