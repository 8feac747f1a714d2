package org.cactusshift.internal.coordination.retry;

/**
 * Keeps retries under a share of the requests.
 *
 * <p>Each request earns the ratio, each retry costs one, and savings are bounded. Over any span, retries are at most
 * the ratio times the requests plus the reserve.
 */
public final class RetryBudget {
    private final double ratio;
    private final double maximumSavings;
    private double savings;

    private RetryBudget(double ratio, double reserve) {
        this.ratio = ratio;
        this.maximumSavings = reserve;
        this.savings = reserve;
    }

    /**
     * Returns a budget whose reserve is full.
     *
     * @param ratio the most retries as a share of requests, 0 to 1
     * @param reserveRetries the most retries that can be saved up
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

    /** Earns the share of one new request. */
    public void onRequest() {
        savings = Math.min(maximumSavings, savings + ratio);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return false when the budget is spent
     */
    public boolean tryRetry() {
        if (savings < 1) {
            return false;
        }
        savings -= 1;
        return true;
    }
}
