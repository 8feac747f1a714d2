package org.cactusshift.standin;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The fault switches of one stand-in; each is in force from the call that sets it.
 *
 * <p>Switches that only a model engine has are without effect elsewhere.
 */
public final class StandInFaults {
    private final Runnable stallConnections;

    private volatile boolean unavailable;

    private volatile boolean paused;

    private volatile boolean failing;

    private volatile boolean refusingNewWork;

    private volatile boolean swappingResponses;

    private volatile boolean ignoringFencing;

    private volatile long delayMillis;

    private volatile Optional<String> crashMarker = Optional.empty();

    private int responsesToDrop;

    private Predicate<StandInRequest> dropCondition = request -> true;

    StandInFaults(Runnable silence) {
        this.stallConnections = silence;
    }

    /**
     * Sets whether each request is refused without effect.
     *
     * @param unavailable true to refuse
     * @return these switches
     */
    public StandInFaults setUnavailable(boolean unavailable) {
        this.unavailable = unavailable;
        return this;
    }

    /**
     * Sets whether it stops answering while all connections stay open. Requests wait until the pause ends.
     *
     * @param paused true to pause
     * @return these switches
     */
    public StandInFaults setPaused(boolean paused) {
        this.paused = paused;
        return this;
    }

    /**
     * Makes the connections that are open now silent for good; new ones work.
     *
     * @return these switches
     */
    public StandInFaults stallOpenConnections() {
        stallConnections.run();
        return this;
    }

    /**
     * Drops the next answers after their requests have taken effect.
     *
     * @param count how many answers
     * @return these switches
     */
    public StandInFaults dropResponses(int count) {
        return dropResponses(count, request -> true);
    }

    /**
     * Drops the next answers to some requests after these have taken effect.
     *
     * @param count how many answers
     * @param condition chooses the requests
     * @return these switches
     */
    public synchronized StandInFaults dropResponses(int count, Predicate<StandInRequest> condition) {
        responsesToDrop = count;
        dropCondition = Objects.requireNonNull(condition, "condition");
        return this;
    }

    /**
     * Sets how long each answer waits after its request has taken effect.
     *
     * @param delayMillis the delay, in milliseconds
     * @return these switches
     */
    public StandInFaults setDelayMillis(long delayMillis) {
        this.delayMillis = delayMillis;
        return this;
    }

    /**
     * Sets whether each answer is replaced by a server error after its request has taken effect.
     *
     * @param failing true to fail
     * @return these switches
     */
    public StandInFaults setFailing(boolean failing) {
        this.failing = failing;
        return this;
    }

    /**
     * Sets whether new work is refused before running.
     *
     * @param notAdmitting true to refuse
     * @return these switches
     */
    public StandInFaults setRefusingNewWork(boolean notAdmitting) {
        this.refusingNewWork = notAdmitting;
        return this;
    }

    /**
     * Sets whether an answer carries the id and text of another request.
     *
     * @param crossing true to cross answers
     * @return these switches
     */
    public StandInFaults setSwappingResponses(boolean crossing) {
        this.swappingResponses = crossing;
        return this;
    }

    /**
     * Sets whether a checking engine accepts old fencing numbers all the same.
     *
     * @param ignoringFencing true to ignore fencing numbers
     * @return these switches
     */
    public StandInFaults setIgnoringFencing(boolean ignoringFencing) {
        this.ignoringFencing = ignoringFencing;
        return this;
    }

    /**
     * Sets the text that crashes the stand-in when a request to run contains it.
     *
     * @param marker the text; empty for none
     * @return these switches
     */
    public StandInFaults setCrashMarker(Optional<String> marker) {
        this.crashMarker = Objects.requireNonNull(marker, "marker");
        return this;
    }

    /**
     * Clears every switch but the silence of connections, which lasts.
     *
     * @return these switches
     */
    public StandInFaults clear() {
        dropResponses(0);
        return setUnavailable(false)
                .setPaused(false)
                .setFailing(false)
                .setDelayMillis(0)
                .setRefusingNewWork(false)
                .setSwappingResponses(false)
                .setIgnoringFencing(false)
                .setCrashMarker(Optional.empty());
    }

    /**
     * Tells whether requests are refused.
     *
     * @return true while unavailable
     */
    public boolean isUnavailable() {
        return unavailable;
    }

    /**
     * Tells whether answers are held back.
     *
     * @return true while paused
     */
    public boolean isPaused() {
        return paused;
    }

    /**
     * Tells whether answers are replaced by server errors.
     *
     * @return true while failing
     */
    public boolean isFailing() {
        return failing;
    }

    /**
     * Tells whether new work is refused.
     *
     * @return true while refusing
     */
    public boolean isRefusingNewWork() {
        return refusingNewWork;
    }

    /**
     * Tells whether answers are crossed.
     *
     * @return true while crossing
     */
    public boolean isSwappingResponses() {
        return swappingResponses;
    }

    /**
     * Tells whether old fencing numbers are accepted.
     *
     * @return true while ignoring
     */
    public boolean isIgnoringFencing() {
        return ignoringFencing;
    }

    /**
     * Tells whether a text crashes the stand-in.
     *
     * @param text the text of a request
     * @return true when it contains the marker
     */
    public boolean containsCrashMarker(String text) {
        return crashMarker.filter(text::contains).isPresent();
    }

    long delayMillis() {
        return delayMillis;
    }

    synchronized boolean consumeResponseDrop(StandInRequest request) {
        if (responsesToDrop < 1 || !dropCondition.test(request)) {
            return false;
        }
        responsesToDrop--;
        return true;
    }
}
