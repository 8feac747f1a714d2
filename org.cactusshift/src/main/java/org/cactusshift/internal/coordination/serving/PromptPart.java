package org.cactusshift.internal.coordination.serving;

/**
 * One part of a prompt, as the caller divided it; the parts are in the order of the prompt.
 *
 * @param id identifies the content
 * @param tokens the number of tokens
 */
public record PromptPart(long id, int tokens) {
    @Override
    public boolean equals(Object other) {
        return other instanceof PromptPart that && id == that.id && tokens == that.tokens;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(id) + tokens;
    }
}
