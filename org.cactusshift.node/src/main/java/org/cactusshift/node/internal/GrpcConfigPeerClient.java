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

/** Fetches configuration from other nodes over gRPC. */
public final class GrpcConfigPeerClient implements ConfigPeerClient {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final String STEP = "fetch configuration";

    private final PeerClient connections;
    private final Sender sender;
    private final Supplier<List<String>> addresses;

    private GrpcConfigPeerClient(PeerClient connections, Sender sender, Supplier<List<String>> addresses) {
        this.connections = connections;
        this.sender = sender;
        this.addresses = addresses;
    }

    /**
     * Returns the peers.
     *
     * @param connections the connections to other nodes
     * @param sender this node
     * @param addresses gives the peer addresses known now, live ones first
     * @return the peers
     */
    public static GrpcConfigPeerClient over(PeerClient connections, Sender sender, Supplier<List<String>> addresses) {
        return new GrpcConfigPeerClient(connections, sender, addresses);
    }

    /**
     * Writes a bundle as an answer to a peer.
     *
     * @param bundle what is newer than the peer's configuration, or empty
     * @return the answer; without parts when there is nothing newer
     */
    public static FetchConfigResponse toResponse(Optional<ConfigBundle> bundle) {
        FetchConfigResponse.Builder response = FetchConfigResponse.newBuilder();
        bundle.ifPresent(present -> {
            response.setVersion(present.head().version());
            present.toValues()
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
        return connections
                .call(peerAddress, STEP, TIMEOUT_MILLIS, stub -> stub.fetchConfig(request))
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
        return connections.watchConfig(peerAddress, request, new StreamObserver<>() {
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
