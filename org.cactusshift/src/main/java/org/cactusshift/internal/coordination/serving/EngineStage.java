package org.cactusshift.internal.coordination.serving;

/** Which part of the work an upstream does. */
public enum EngineStage {
    /** A plain service, or an engine that tells no stage: does all of it. */
    ANY,
    /** Reads prompts for other engines. */
    PREFILL,
    /** Produces output; reads prompts too, but slowly. */
    DECODE
}
