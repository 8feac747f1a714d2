package org.cactusshift.internal.coordination.dispatch;

/** Why an upstream takes no new work. */
public enum ExclusionCause {
    /** The platform's list of instances says that it is leaving. */
    INSTANCE_LIST,
    /** The upstream itself reports that it is draining. */
    DRAINING,
    /** A planned change waits for the upstream to be empty. */
    PLANNED_CHANGE,
    /** The upstream has not answered a load request for too long. */
    SILENT
}
