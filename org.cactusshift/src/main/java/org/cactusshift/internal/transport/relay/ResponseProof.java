package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import org.cactusshift.id.RequestId;

/** What shows that the final head of a response answers the request of an exchange. */
public interface ResponseProof {
    /** How the head of a response relates to a request. */
    enum Result {
        /** It answers the request. */
        MATCH,
        /** It names another request. */
        OTHER_REQUEST,
        /** It names no request. */
        NO_REQUEST,
        /** It names several requests. */
        SEVERAL_REQUESTS
    }

    /**
     * Examines the final head of a response.
     *
     * @param response the head
     * @return how it relates to the request
     */
    Result check(HttpResponse response);

    /**
     * Returns whether the response to the request is awaited after one that does not match; if not, the exchange fails.
     *
     * @return whether the remote side may send responses to other requests first
     */
    boolean skipsMismatches();

    /**
     * Returns the id of the request, for logs.
     *
     * @return the id, {@code "-"} when the request has none
     */
    String request();

    /**
     * Proves by the id that an upstream repeats in its response.
     *
     * @param codec reads the ids
     * @param id the id of the request
     * @return the proof
     */
    static ResponseProof ofUpstream(RelayCodec codec, RequestId id) {
        return new NamedRequest(codec, id, true);
    }

    /**
     * Proves by the id that a peer repeats in its response. Nodes respond once, so that nothing is awaited after a
     * mismatch; a node of a former release does not name the request in responses of its own, which are not signed.
     *
     * @param codec reads the ids
     * @param id the id of the request
     * @return the proof
     */
    static ResponseProof ofPeer(RelayCodec codec, RequestId id) {
        return new PassedOnRequest(codec, new NamedRequest(codec, id, false));
    }

    /**
     * Accepts any response that names no request, for a request without an id whose outcome does not matter.
     *
     * @param codec reads the ids
     * @return the proof
     */
    static ResponseProof ofUnnamedRequest(RelayCodec codec) {
        return new UnnamedRequest(codec);
    }

    /**
     * Accepts any response, for a service whose connections carry no other requests and which responds once.
     *
     * @return the proof
     */
    static ResponseProof ofConnection() {
        return AnyResponse.INSTANCE;
    }

    /** The proof of a request with an id. */
    record NamedRequest(RelayCodec codec, RequestId id, boolean skipsMismatches) implements ResponseProof {
        @Override
        public Result check(HttpResponse response) {
            List<String> named = codec.requestIds(response);
            if (named.isEmpty()) {
                return Result.NO_REQUEST;
            }
            if (named.stream().distinct().count() > 1) {
                return Result.SEVERAL_REQUESTS;
            }
            return named.get(0).equals(id.value()) ? Result.MATCH : Result.OTHER_REQUEST;
        }

        @Override
        public String request() {
            return id.value();
        }
    }

    /** The proof of a request that a peer serves. */
    record PassedOnRequest(RelayCodec codec, NamedRequest named) implements ResponseProof {
        @Override
        public Result check(HttpResponse response) {
            Result result = named.check(response);
            boolean isOfPeer =
                    result == Result.NO_REQUEST && !codec.readResponse(response).signed();
            return isOfPeer ? Result.MATCH : result;
        }

        @Override
        public boolean skipsMismatches() {
            return false;
        }

        @Override
        public String request() {
            return named.request();
        }
    }

    /** The proof of a request without an id. */
    record UnnamedRequest(RelayCodec codec) implements ResponseProof {
        @Override
        public Result check(HttpResponse response) {
            return codec.requestIds(response).isEmpty() ? Result.MATCH : Result.OTHER_REQUEST;
        }

        @Override
        public boolean skipsMismatches() {
            return true;
        }

        @Override
        public String request() {
            return "-";
        }
    }

    /** The proof of a connection that carries nothing else. */
    enum AnyResponse implements ResponseProof {
        INSTANCE;

        @Override
        public Result check(HttpResponse response) {
            return Result.MATCH;
        }

        @Override
        public boolean skipsMismatches() {
            return false;
        }

        @Override
        public String request() {
            return "-";
        }
    }
}
