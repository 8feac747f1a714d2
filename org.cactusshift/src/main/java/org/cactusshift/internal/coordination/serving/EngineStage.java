package org.cactusshift.internal.coordination.serving;

/** The stage of request processing that an upstream performs. */
public enum EngineStage {
    /** No separation of stages: a plain service, or an engine that reports no stage. */
    ANY,
    /** Prefills prompts for other engines. */
    PREFILL,
    /** Generates output; also prefills prompts, at a lower rate than a prefill engine. */
    DECODE
}
