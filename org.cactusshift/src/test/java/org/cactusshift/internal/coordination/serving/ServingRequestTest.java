package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;

class ServingRequestTest {
    private static final ServedRoute STREAM =
            ServingFixture.route(RequestKind.STREAM, ServingFixture.MODEL, 600, 5_000);

    /** Guards against a sum of tokens that overflows, so that a request too large for any engine seems to fit. */
    @Test
    void heldTokensDoNotOverflow() {
        List<PromptPart> prompt = List.of(new PromptPart(1, Integer.MAX_VALUE), new PromptPart(2, Integer.MAX_VALUE));
        ServingRequest request = ServingFixture.request("q", STREAM, prompt);
        assertEquals(2L * Integer.MAX_VALUE, request.heldTokens(false));
        assertFalse(request.fitsAnEngine(ServingFixture.service(ServingFixture.MODEL)));
    }
}
