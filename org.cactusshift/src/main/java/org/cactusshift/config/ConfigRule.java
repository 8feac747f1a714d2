package org.cactusshift.config;

import com.fasterxml.jackson.databind.JsonNode;

/** A semantic check of a merged document; ignores values that the schema validator has already reported. */
interface ConfigRule {
    /** Adds the problems of the document to the collector. */
    void check(JsonNode document, ProblemCollector problems);
}
