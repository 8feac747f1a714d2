package org.cactusshift.systemtest;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Judges the events of streams that callers get, also when they take up a stream that was broken off.
 *
 * <ul>
 *   <li>ORDER: an event is missing, comes twice, is of another request or of another software version than the first;
 *   <li>LOST: of the streams that are taken up, less than half as large a share goes on as of the new ones begins.
 * </ul>
 */
final class SoakStreamJudge {
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: ([^\n]*)-(\\d+)-(v\\d+)\n\n");
    private static final int MINIMUM_TAKEN_UP = 12;

    private final List<String> violations = new ArrayList<>();
    private int sent;
    private int begun;
    private int takenUp;
    private int wentOn;

    /** What a caller has of a stream: the last event and the version that wrote it; 0 and empty before the first. */
    record Position(int lastEvent, String version) {
        static final Position START = new Position(0, "");
    }

    /**
     * Records the events of one response.
     *
     * @param id the request
     * @param body the events; an incomplete one at the end is left out
     * @param from what the caller had before
     * @return what the caller has now
     */
    synchronized Position onEvents(String id, String body, Position from) {
        Matcher event = EVENT.matcher(body);
        Position position = from;
        int end = 0;
        while (event.find() && event.start() == end) {
            end = event.end();
            int number = Integer.parseInt(event.group(1));
            boolean isOtherVersion =
                    !position.equals(Position.START) && !position.version().equals(event.group(4));
            if (number != position.lastEvent() + 1
                    || !event.group(2).equals(id)
                    || Integer.parseInt(event.group(3)) != number
                    || isOtherVersion) {
                violations.add("ORDER: " + id + " got " + event.group().replace("\n", " ") + "after " + position);
            }
            position = new Position(number, event.group(4));
        }
        return position;
    }

    /** Records whether a new stream has begun. */
    synchronized void onNew(boolean hasBegun) {
        sent++;
        begun += hasBegun ? 1 : 0;
    }

    /** Records whether a stream that a caller took up has gone on. */
    synchronized void onTakenUp(boolean hasGoneOn) {
        takenUp++;
        wentOn += hasGoneOn ? 1 : 0;
    }

    synchronized List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        // wentOn / takenUp < (begun / sent) / 2
        if (takenUp >= MINIMUM_TAKEN_UP && 2L * wentOn * sent < (long) begun * takenUp) {
            all.add("LOST: " + this);
        }
        return all;
    }

    @Override
    public synchronized String toString() {
        return begun + " of " + sent + " new streams begun, " + wentOn + " of " + takenUp + " taken up gone on";
    }
}
