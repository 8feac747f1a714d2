package org.cactusshift.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.errors.NotFoundException;
import com.openai.errors.UnauthorizedException;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import com.openai.models.chat.completions.ChatCompletionStreamOptions;
import com.openai.models.completions.Completion;
import com.openai.models.completions.CompletionCreateParams;
import java.util.List;
import org.cactusshift.standin.engine.ExpectedAnswer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Runs the unmodified client library of OpenAI against one node of a site of three. */
class OpenAiClientTest {
    private static final String MODEL = "share-lm";
    private static final String PROMPT = "how large is the share of the deckhand";
    private static final int TOKENS = 40;

    private static LocalSite site;
    private static OpenAIClient client;

    @BeforeAll
    static void startSite() throws Exception {
        site = LocalSite.start(3);
        client = clientWith(site.bearerToken());
    }

    @AfterAll
    static void stopSite() {
        client.close();
        site.close();
    }

    private static OpenAIClient clientWith(String key) {
        return OpenAIOkHttpClient.builder()
                .baseUrl("http://" + site.nodes().get(0).callerAddress() + "/v1")
                .apiKey(key)
                .maxRetries(0)
                .build();
    }

    private static ChatCompletionCreateParams.Builder chat(String model) {
        return ChatCompletionCreateParams.builder()
                .model(model)
                .maxTokens(TOKENS)
                .addUserMessage(PROMPT);
    }

    private static String expected() {
        return ExpectedAnswer.forUserMessage(PROMPT).text(TOKENS);
    }

    @Test
    void receivesChatCompletionWithUsage() {
        ChatCompletion answer = client.chat().completions().create(chat(MODEL).build());

        assertEquals(expected(), answer.choices().get(0).message().content().orElseThrow());
        assertEquals(TOKENS, answer.usage().orElseThrow().completionTokens());
    }

    @Test
    void receivesStreamedChatCompletionWithUsage() {
        StringBuilder text = new StringBuilder();
        long[] completionTokens = new long[1];
        ChatCompletionCreateParams params = chat(MODEL)
                .streamOptions(
                        ChatCompletionStreamOptions.builder().includeUsage(true).build())
                .build();
        try (StreamResponse<ChatCompletionChunk> stream =
                client.chat().completions().createStreaming(params)) {
            stream.stream().forEach(chunk -> {
                chunk.choices().forEach(choice -> choice.delta().content().ifPresent(text::append));
                chunk.usage().ifPresent(usage -> completionTokens[0] = usage.completionTokens());
            });
        }

        assertEquals(expected(), text.toString());
        assertEquals(TOKENS, completionTokens[0]);
    }

    @Test
    void receivesTextCompletion() {
        Completion answer = client.completions()
                .create(CompletionCreateParams.builder()
                        .model(MODEL)
                        .prompt(PROMPT)
                        .maxTokens(TOKENS)
                        .build());

        assertEquals(
                ExpectedAnswer.forPrompt(PROMPT).text(TOKENS),
                answer.choices().get(0).text());
    }

    @Test
    void listsOnlyModelsOfTheClientAccount() {
        List<String> models =
                client.models().list().data().stream().map(model -> model.id()).toList();

        assertEquals(List.of(MODEL), models);
    }

    @Test
    void wrongKeyRaisesUnauthorized() {
        OpenAIClient clientWithWrongKey = clientWith("cs-test-key.wrong");

        assertThrows(
                UnauthorizedException.class,
                () -> clientWithWrongKey.chat().completions().create(chat(MODEL).build()));
        clientWithWrongKey.close();
    }

    @Test
    void unknownModelRaisesNotFound() {
        NotFoundException refusal = assertThrows(
                NotFoundException.class,
                () -> client.chat().completions().create(chat("no-such-model").build()));

        assertTrue(refusal.getMessage().contains("the model does not exist"), refusal.getMessage());
        assertEquals(List.of("not-run"), refusal.headers().values("x-cactusshift-outcome"));
    }
}
