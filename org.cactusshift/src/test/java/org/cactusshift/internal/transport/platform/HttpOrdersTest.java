package org.cactusshift.internal.transport.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.io.CloseMode;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.OrderId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.order.Order;
import org.cactusshift.internal.coordination.order.OrderContent;
import org.cactusshift.internal.coordination.order.OrderTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link HttpEngineOrderTransport} and {@link HttpUpstreamOrderTransport} against a local HTTP server. */
class HttpOrdersTest {
    private static final OrderId ID = OrderId.fromString("order-7");

    private final AtomicReference<String> receivedRequest = new AtomicReference<>();
    private final PlatformHttpClient client = PlatformHttpClient.create(2_000);
    private volatile int status;
    private volatile String responseBody;
    private HttpServer server;

    @BeforeEach
    void start() throws IOException {
        server = ServerBootstrap.bootstrap()
                .setLocalAddress(InetAddress.getLoopbackAddress())
                .setCanonicalHostName("127.0.0.1")
                .setListenerPort(0)
                .register("*", (request, response, context) -> {
                    String body = request.getEntity() == null ? "" : EntityUtils.toString(request.getEntity());
                    receivedRequest.set(request.getMethod() + " " + request.getPath() + " " + body);
                    response.setCode(status);
                    response.setEntity(new StringEntity(responseBody, ContentType.APPLICATION_JSON));
                })
                .create();
        server.start();
    }

    @AfterEach
    void stop() {
        server.close(CloseMode.IMMEDIATE);
        client.close();
    }

    @ParameterizedTest
    @CsvSource({
        "202,accepted,ACCEPTED",
        "409,stale_fencing_number,STALE_FENCING_NUMBER",
        "409,busy,BUSY",
        "400,invalid_request,REFUSED",
        "409,other,UNKNOWN_EFFECT",
        "503,unavailable,UNKNOWN_EFFECT"
    })
    void sendsAnEngineOrderWithItsFencingNumberAndMapsTheResponse(int code, String error, String expected) {
        status = code;
        responseBody = "{\"error\":{\"code\":\"" + error + "\"}}";
        Either<Failure, OrderTransport.SendResult> sendResult =
                HttpEngineOrderTransport.create(client).send(engineOrder(), 42);
        assertEquals(expected, sendResult.fold(failure -> failure.kind().name(), OrderTransport.SendResult::name));
        assertEquals(
                "POST /orders {\"order_id\":\"order-7\",\"fencing_number\":42,\"kind\":\"set_role\","
                        + "\"role\":\"prefill\"}",
                receivedRequest.get());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'outstanding':{'order_id':'order-7'},'last':null}|RUNNING",
                "{'outstanding':null,'last':{'order_id':'order-7','state':'done'}}|DONE",
                "{'outstanding':null,'last':{'order_id':'order-7','state':'failed'}}|FAILED",
                "{'outstanding':{'order_id':'order-8'},'last':null}|NOT_RECEIVED",
                "not JSON|NO_EFFECT"
            })
    void readsTheProgressOfAnEngineOrder(String body, String expected) {
        status = 200;
        responseBody = body.replace('\'', '"');
        Either<Failure, OrderTransport.Progress> progress =
                HttpEngineOrderTransport.create(client).progress(engineOrder());
        assertEquals(expected, progress.fold(failure -> failure.kind().name(), OrderTransport.Progress::name));
    }

    @ParameterizedTest
    @CsvSource({"201,created,ACCEPTED", "409,unavailable,REFUSED", "400,invalid_request,REFUSED", "500,x,UNKNOWN_EFFECT"
    })
    void sendsAnUpstreamOrderWithItsIdAsTokenAndMapsTheResponse(int code, String error, String expected) {
        status = code;
        responseBody = "{\"error\":{\"code\":\"" + error + "\"}}";
        Either<Failure, OrderTransport.SendResult> sendResult =
                HttpUpstreamOrderTransport.create(client).send(upstreamOrder(), 42);
        assertEquals(expected, sendResult.fold(failure -> failure.kind().name(), OrderTransport.SendResult::name));
        assertEquals(
                "POST /v1/failure-domains/ostend-a/orders {\"token\":\"order-7\",\"service\":\"share-lm\",\"count\":2,"
                        + "\"reclaimable\":true,\"fencing_number\":42}",
                receivedRequest.get());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // An order is done when it is listed, whatever its state.
                "{'orders':[{'order_id':'o1','token':'order-7','state':'pending'}]}|DONE",
                "{'orders':[{'order_id':'o1','token':'order-8','state':'running'}]}|NOT_RECEIVED",
                "{}|NO_EFFECT"
            })
    void readsFromTheListWhetherUpstreamsWereOrdered(String body, String expected) {
        status = 200;
        responseBody = body.replace('\'', '"');
        Either<Failure, OrderTransport.Progress> progress =
                HttpUpstreamOrderTransport.create(client).progress(upstreamOrder());
        assertEquals(expected, progress.fold(failure -> failure.kind().name(), OrderTransport.Progress::name));
    }

    // A release counts as not received until the placed order is listed as released.
    @ParameterizedTest
    @CsvSource({"running,NOT_RECEIVED", "released,DONE"})
    void readsFromTheListWhetherUpstreamsWereReleased(String state, String expected) {
        status = 200;
        responseBody = "{\"orders\":[{\"order_id\":\"o1\",\"token\":\"t\",\"state\":\"" + state + "\"}]}";
        OrderTransport transport = HttpUpstreamOrderTransport.create(client);
        assertEquals(expected, transport.progress(releaseOrder()).get().name());
    }

    @Test
    void sendsAReleaseWithItsOrderIdAsToken() {
        status = 200;
        responseBody = "{}";
        assertEquals(
                OrderTransport.SendResult.ACCEPTED,
                HttpUpstreamOrderTransport.create(client)
                        .send(releaseOrder(), 42)
                        .get());
        assertEquals("DELETE /v1/failure-domains/ostend-a/orders/o1?token=order-7 ", receivedRequest.get());
    }

    private Order engineOrder() {
        return new Order(ID, "engine-1", address(), true, new OrderContent.SetRole(UpstreamConfig.Role.PREFILL));
    }

    private Order upstreamOrder() {
        OrderContent content = new OrderContent.PlaceUpstreams(ServiceId.fromString("share-lm"), 2, true);
        return Order.forUpstreams(ID, FailureDomainId.fromString("ostend-a"), address(), content);
    }

    private Order releaseOrder() {
        OrderContent content = new OrderContent.ReleaseUpstreams("o1");
        return Order.forUpstreams(ID, FailureDomainId.fromString("ostend-a"), address(), content);
    }

    private String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }
}
