package org.cactusshift.internal.coordination.serving;

/**
 * A part of a prompt, in the order of the prompt.
 *
 * @param id identifies its content
 * @param tokens its length
 */
public record PromptPart(long id, int tokens) {}
