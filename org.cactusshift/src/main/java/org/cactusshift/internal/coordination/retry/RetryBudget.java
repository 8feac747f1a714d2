package org.cactusshift.internal.coordination.retry;

/**
 * Limits retries to a share of the requests.
 *
 * <p>Each request adds the ratio to the balance, each retry takes one, and the balance is bounded by the reserve. Over
 * any period, retries are at most the ratio times the requests plus the reserve.
 */
public final class RetryBudget {
    private final double ratio;
    private final double maximumBalance;
    private double balance;

    private RetryBudget(double ratio, double reserve) {
        this.ratio = ratio;
        this.maximumBalance = reserve;
        this.balance = reserve;
    }

    /**
     * Returns a budget whose reserve is full.
     *
     * @param ratio the maximum number of retries as a share of requests, 0 to 1
     * @param reserveRetries the maximum number of retries that can accumulate
     * @return the budget
     * @throws IllegalArgumentException if the ratio is outside 0 to 1 or the reserve is negative
     */
    public static RetryBudget create(double ratio, int reserveRetries) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio outside 0 to 1: " + ratio);
        }
        if (reserveRetries < 0) {
            throw new IllegalArgumentException("negative reserve: " + reserveRetries);
        }
        return new RetryBudget(ratio, ratio == 0 ? 0 : reserveRetries);
    }

    /** Adds the share of one new request to the balance. */
    public void onRequest() {
        balance = Math.min(maximumBalance, balance + ratio);
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
