package org.cactusshift.node.internal;

import com.google.protobuf.ByteString;
import io.grpc.stub.StreamObserver;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.configsync.ConfigBundle;
import org.cactusshift.internal.coordination.configsync.ConfigPeerClient;
import org.cactusshift.internal.transport.peer.PeerClient;
import org.cactusshift.messages.ConfigPart;
import org.cactusshift.messages.ConfigVersion;
import org.cactusshift.messages.FetchConfigRequest;
import org.cactusshift.messages.FetchConfigResponse;
import org.cactusshift.messages.Sender;
import org.cactusshift.messages.WatchConfigRequest;

/** Fetches the configuration of peers and watches their configuration versions, over gRPC. */
public final class GrpcConfigPeerClient implements ConfigPeerClient {
    private static final long FETCH_TIMEOUT_MILLIS = 2_000;
    private static final String STEP = "fetch configuration";

    private final PeerClient peerClient;
    private final Sender sender;
    private final Supplier<List<String>> addresses;

    private GrpcConfigPeerClient(PeerClient peerClient, Sender sender, Supplier<List<String>> addresses) {
        this.peerClient = peerClient;
        this.sender = sender;
        this.addresses = addresses;
    }

    /**
     * Returns a client that uses the given peer client.
     *
     * @param peerClient calls the peers
     * @param sender identifies this node to the peers
     * @param addresses supplies the current peer addresses, those of live peers first
     * @return the client
     */
    public static GrpcConfigPeerClient over(PeerClient peerClient, Sender sender, Supplier<List<String>> addresses) {
        return new GrpcConfigPeerClient(peerClient, sender, addresses);
    }

    /**
     * Converts a bundle to the response to a peer.
     *
     * @param bundle the parts that are newer than the peer's configuration, or empty
     * @return the response; without parts if the peer's configuration is up to date
     */
    public static FetchConfigResponse toResponse(Optional<ConfigBundle> bundle) {
        FetchConfigResponse.Builder response = FetchConfigResponse.newBuilder();
        bundle.ifPresent(newer -> {
            response.setVersion(newer.head().version());
            newer.toValues()
                    .forEach((name, value) -> response.addParts(ConfigPart.newBuilder()
                            .setName(name)
                            .setValue(ByteString.copyFrom(value))
                            .build()));
        });
        return response.build();
    }

    @Override
    public List<String> addresses() {
        return addresses.get();
    }

    @Override
    public Either<Failure, Optional<ConfigBundle>> fetch(String peerAddress, long haveVersion) {
        FetchConfigRequest request = FetchConfigRequest.newBuilder()
                .setSender(sender)
                .setHaveVersion(haveVersion)
                .build();
        return peerClient
                .call(peerAddress, STEP, FETCH_TIMEOUT_MILLIS, stub -> stub.fetchConfig(request))
                .flatMap(response -> toBundle(peerAddress, response));
    }

    private static Either<Failure, Optional<ConfigBundle>> toBundle(String peerAddress, FetchConfigResponse response) {
        if (response.getPartsCount() == 0) {
            return Either.right(Optional.empty());
        }
        Map<String, byte[]> values = new TreeMap<>();
        response.getPartsList()
                .forEach(part -> values.put(part.getName(), part.getValue().toByteArray()));
        try {
            return Either.right(Optional.of(ConfigBundle.fromValues(values)));
        } catch (IOException e) {
            return Either.left(Failure.rejected(STEP, peerAddress, e.toString()));
        }
    }

    @Override
    public Runnable subscribeToVersions(String peerAddress, LongConsumer onVersion, Runnable onEnd) {
        AtomicBoolean ended = new AtomicBoolean();
        Runnable endOnce = () -> {
            if (ended.compareAndSet(false, true)) {
                onEnd.run();
            }
        };
        WatchConfigRequest request =
                WatchConfigRequest.newBuilder().setSender(sender).build();
        return peerClient.watchConfig(peerAddress, request, new StreamObserver<>() {
            @Override
            public void onNext(ConfigVersion version) {
                onVersion.accept(version.getVersion());
            }

            @Override
            public void onError(Throwable error) {
                endOnce.run();
            }

            @Override
            public void onCompleted() {
                endOnce.run();
            }
        });
    }
}
