package org.cactusshift.internal.transport.relay;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.internal.coordination.serving.RequestKind;
import org.cactusshift.internal.coordination.serving.ServingRequest;

/** At which software versions a request may run, so that a stream is written by one version. */
final class StreamVersionRule {
    private StreamVersionRule() {}

    /**
     * Finds the version that began a stream which the caller takes up again: nodes tell it, or it is the only one at
     * which any stream can have begun.
     *
     * @param resumed the request whose response began the stream, empty when the caller does not name it
     * @param receiver is called once, with empty when the version is not known
     */
    static void findOrigin(
            RelayContext context,
            ServingRequest request,
            Optional<RequestId> resumed,
            Consumer<Optional<SoftwareVersion>> receiver) {
        if (resumed.isEmpty()) {
            context.streamVersions().findSole(request.service(), receiver);
            return;
        }
        context.streamOrigins().find(resumed.get(), told -> {
            if (told.isPresent()) {
                receiver.accept(told);
            } else {
                context.streamVersions().findSole(request.service(), receiver);
            }
        });
    }

    /** Returns the versions at which a request may run now. */
    static Predicate<SoftwareVersion> allowedVersions(
            RelayContext context, ServingRequest request, StreamProgress stream) {
        if (stream.version().isPresent()) {
            return stream.version().get()::equals;
        }
        boolean beginsResumableStream =
                request.route().kind() == RequestKind.STREAM && request.route().isRetryable();
        return version -> !beginsResumableStream || context.streamVersions().mayBegin(request.service(), version);
    }
}
