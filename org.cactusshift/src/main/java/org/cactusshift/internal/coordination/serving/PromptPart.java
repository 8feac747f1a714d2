package org.cactusshift.internal.coordination.serving;

/**
 * One part of a prompt; the parts of a prompt are ordered.
 *
 * @param id the id of its content
 * @param tokens the number of tokens
 */
public record PromptPart(long id, int tokens) {}
