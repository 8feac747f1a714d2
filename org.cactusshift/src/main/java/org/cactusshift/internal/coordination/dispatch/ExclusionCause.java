package org.cactusshift.internal.coordination.dispatch;

/** Why an upstream is excluded from new requests. */
public enum ExclusionCause {
    /** The platform's instance list marks it as leaving. */
    INSTANCE_LIST,
    /** The upstream itself reports that it is draining. */
    DRAINING,
    /** A planned change waits until the upstream has no open requests. */
    PLANNED_CHANGE,
    /** The upstream is unresponsive: it has not answered load requests within the time limit. */
    SILENT
}
