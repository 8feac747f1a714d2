package org.cactusshift.standin;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The faults that can be injected into one stand-in; each takes effect as soon as it is set.
 *
 * <p>Refusals of new work and the crash marker have an effect on model engines and plain services alone, misattributed
 * responses and ignored fencing numbers on model engines alone.
 */
public final class StandInFaults {
    private final Runnable stallConnections;

    private volatile boolean unavailable;

    private volatile boolean paused;

    private volatile boolean failing;

    private volatile boolean refusingNewWork;

    private volatile boolean misattributingResponses;

    private volatile boolean ignoringFencing;

    private volatile long delayMillis;

    private volatile Optional<String> crashMarker = Optional.empty();

    private int responsesToDrop;

    private Predicate<StandInRequest> dropCondition = request -> true;

    StandInFaults(Runnable stallConnections) {
        this.stallConnections = stallConnections;
    }

    /**
     * Sets whether every request is refused before it takes effect.
     *
     * @param unavailable true to refuse
     * @return this
     */
    public StandInFaults setUnavailable(boolean unavailable) {
        this.unavailable = unavailable;
        return this;
    }

    /**
     * Sets whether the stand-in is unresponsive while its connections stay open. Requests wait until the pause ends.
     *
     * @param paused true to pause
     * @return this
     */
    public StandInFaults setPaused(boolean paused) {
        this.paused = paused;
        return this;
    }

    /**
     * Makes the stand-in unresponsive on the connections that are open now, until they are closed; {@link #clear()}
     * does not end it. Connections opened later work.
     *
     * @return this
     */
    public StandInFaults stallOpenConnections() {
        stallConnections.run();
        return this;
    }

    /**
     * Drops the next responses, after their requests have taken effect, and closes their connections.
     * Replaces an earlier call.
     *
     * @param count the number of responses; 0 cancels an earlier call
     * @return this
     */
    public StandInFaults dropResponses(int count) {
        return dropResponses(count, request -> true);
    }

    /**
     * Drops the next responses to matching requests, after these have taken effect, and closes their connections.
     * Replaces an earlier call.
     *
     * @param count the number of responses; 0 cancels an earlier call
     * @param condition selects the requests
     * @return this
     */
    public synchronized StandInFaults dropResponses(int count, Predicate<StandInRequest> condition) {
        responsesToDrop = count;
        dropCondition = Objects.requireNonNull(condition, "condition");
        return this;
    }

    /**
     * Sets the delay between the handling of a request and its response; a streamed response begins after the delay.
     *
     * @param delayMillis the delay, in milliseconds; 0 for none
     * @return this
     */
    public StandInFaults setDelayMillis(long delayMillis) {
        this.delayMillis = delayMillis;
        return this;
    }

    /**
     * Sets whether each response is replaced by a server error after the request has taken effect.
     *
     * @param failing true to fail
     * @return this
     */
    public StandInFaults setFailing(boolean failing) {
        this.failing = failing;
        return this;
    }

    /**
     * Sets whether model engines and plain services refuse new work before it runs; they still answer polls.
     *
     * @param refusingNewWork true to refuse
     * @return this
     */
    public StandInFaults setRefusingNewWork(boolean refusingNewWork) {
        this.refusingNewWork = refusingNewWork;
        return this;
    }

    /**
     * Sets whether each response of a model engine carries the attempt id and the text of the request before it.
     *
     * @param misattributingResponses true to misattribute responses
     * @return this
     */
    public StandInFaults setMisattributingResponses(boolean misattributingResponses) {
        this.misattributingResponses = misattributingResponses;
        return this;
    }

    /**
     * Sets whether an engine that checks fencing numbers accepts stale ones nevertheless.
     *
     * @param ignoringFencing true to ignore fencing numbers
     * @return this
     */
    public StandInFaults setIgnoringFencing(boolean ignoringFencing) {
        this.ignoringFencing = ignoringFencing;
        return this;
    }

    /**
     * Sets a text that crashes a model engine when it processes a prompt that contains it, and a plain service when it
     * receives a body that contains it.
     *
     * @param marker the text; empty for none
     * @return this
     */
    public StandInFaults setCrashMarker(Optional<String> marker) {
        this.crashMarker = Objects.requireNonNull(marker, "marker");
        return this;
    }

    /**
     * Clears every fault except for stalled connections, which stay stalled.
     *
     * @return this
     */
    public StandInFaults clear() {
        dropResponses(0);
        return setUnavailable(false)
                .setPaused(false)
                .setFailing(false)
                .setDelayMillis(0)
                .setRefusingNewWork(false)
                .setMisattributingResponses(false)
                .setIgnoringFencing(false)
                .setCrashMarker(Optional.empty());
    }

    /**
     * Returns whether every request is refused.
     *
     * @return true while unavailable
     */
    public boolean isUnavailable() {
        return unavailable;
    }

    /**
     * Returns whether the stand-in is paused.
     *
     * @return true while paused
     */
    public boolean isPaused() {
        return paused;
    }

    /**
     * Returns whether responses are replaced by server errors.
     *
     * @return true while failing
     */
    public boolean isFailing() {
        return failing;
    }

    /**
     * Returns whether new work is refused.
     *
     * @return true if new work is refused
     */
    public boolean isRefusingNewWork() {
        return refusingNewWork;
    }

    /**
     * Returns whether each response carries the attempt id and the text of the request before it.
     *
     * @return true if responses are misattributed
     */
    public boolean isMisattributingResponses() {
        return misattributingResponses;
    }

    /**
     * Returns whether stale fencing numbers are accepted.
     *
     * @return true if fencing numbers are ignored
     */
    public boolean isIgnoringFencing() {
        return ignoringFencing;
    }

    /**
     * Returns whether a text contains the marker that crashes the stand-in.
     *
     * @param text the prompt or the body of a request
     * @return true if it contains the marker
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
