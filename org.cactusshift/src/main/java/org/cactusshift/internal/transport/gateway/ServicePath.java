package org.cactusshift.internal.transport.gateway;

import io.vavr.control.Either;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.internal.protocol.openai.ApiError;

/**
 * The service and path of a call of a plain service.
 *
 * <p>The path decides whether a call may be retried. A path that an upstream could interpret differently from the
 * gateway is therefore refused: one with dot segments, double slashes, encoded slashes, backslashes or dots, or
 * characters that are not allowed in a path.
 *
 * @param service the name of the service
 * @param path the path at the upstream, still percent-encoded, with a leading slash
 */
record ServicePath(String service, String path) {
    static final String PREFIX = "/services/";

    /** Slash, backslash and dot, percent-encoded once and twice. */
    private static final Set<String> ENCODED_PATH_CHARACTERS = Set.of("%2f", "%5c", "%2e", "%252f", "%255c", "%252e");

    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");

    /** Headers by which an upstream may treat a call as one of another method; they make a call non-repeatable. */
    private static final Set<String> METHOD_OVERRIDE_HEADERS =
            Set.of("x-http-method-override", "x-http-method", "x-method-override");

    static Either<Refusal, ServicePath> parse(String requestPath) {
        String rest = requestPath.substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        return isAmbiguous(path)
                ? Either.left(Refusal.of(ApiError.badRequest("path", "the path is ambiguous")))
                : Either.right(new ServicePath(service, path));
    }

    private static boolean isAmbiguous(String path) {
        String lower = path.toLowerCase(Locale.ROOT);
        if (ENCODED_PATH_CHARACTERS.stream().anyMatch(lower::contains)) {
            return true;
        }
        if (path.contains("//") || !path.chars().allMatch(c -> c > ' ' && c < 0x7F && c != '\\' && c != '#')) {
            return true;
        }
        for (String segment : path.split("/")) {
            int parametersIndex = segment.indexOf(';');
            String name = parametersIndex < 0 ? segment : segment.substring(0, parametersIndex);
            if (name.equals(".") || name.equals("..")) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a call may be retried after an upstream may have run it. */
    boolean isRepeatable(ServiceConfig config, String method, Iterable<String> headerNames) {
        if (config.repeatable() || config.repeatablePaths().stream().anyMatch(this::isAtOrBelow)) {
            return true;
        }
        return SAFE_METHODS.contains(method) && !overridesMethod(headerNames);
    }

    private static boolean overridesMethod(Iterable<String> headerNames) {
        for (String name : headerNames) {
            if (METHOD_OVERRIDE_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                return true;
            }
        }
        return false;
    }

    private boolean isAtOrBelow(String prefix) {
        String directory = prefix.endsWith("/") ? prefix.substring(0, prefix.length() - 1) : prefix;
        return path.equals(directory) || path.startsWith(directory + "/");
    }

    String target(Optional<String> query) {
        return query.map(text -> path + "?" + text).orElse(path);
    }
}
