package org.cactusshift.config;

import com.fasterxml.jackson.databind.JsonNode;

/** A check of meaning on a merged document; tolerates values that the schema check already reported. */
interface ConfigRule {
    /** Adds the faults of the document. */
    void check(JsonNode document, ProblemCollector problems);
}
