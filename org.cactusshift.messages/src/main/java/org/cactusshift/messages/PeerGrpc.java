package org.cactusshift.messages;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Service that every node offers to its peers, the other nodes of the site.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerGrpc {

  private PeerGrpc() {}

  public static final java.lang.String SERVICE_NAME = "cactusshift.peer.v1.Peer";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.cactusshift.messages.HeartbeatRequest,
      org.cactusshift.messages.HeartbeatResponse> getHeartbeatMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Heartbeat",
      requestType = org.cactusshift.messages.HeartbeatRequest.class,
      responseType = org.cactusshift.messages.HeartbeatResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.cactusshift.messages.HeartbeatRequest,
      org.cactusshift.messages.HeartbeatResponse> getHeartbeatMethod() {
    io.grpc.MethodDescriptor<org.cactusshift.messages.HeartbeatRequest, org.cactusshift.messages.HeartbeatResponse> getHeartbeatMethod;
    if ((getHeartbeatMethod = PeerGrpc.getHeartbeatMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getHeartbeatMethod = PeerGrpc.getHeartbeatMethod) == null) {
          PeerGrpc.getHeartbeatMethod = getHeartbeatMethod =
              io.grpc.MethodDescriptor.<org.cactusshift.messages.HeartbeatRequest, org.cactusshift.messages.HeartbeatResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Heartbeat"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.HeartbeatRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.HeartbeatResponse.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Heartbeat"))
              .build();
        }
      }
    }
    return getHeartbeatMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.cactusshift.messages.FetchConfigRequest,
      org.cactusshift.messages.FetchConfigResponse> getFetchConfigMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FetchConfig",
      requestType = org.cactusshift.messages.FetchConfigRequest.class,
      responseType = org.cactusshift.messages.FetchConfigResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.cactusshift.messages.FetchConfigRequest,
      org.cactusshift.messages.FetchConfigResponse> getFetchConfigMethod() {
    io.grpc.MethodDescriptor<org.cactusshift.messages.FetchConfigRequest, org.cactusshift.messages.FetchConfigResponse> getFetchConfigMethod;
    if ((getFetchConfigMethod = PeerGrpc.getFetchConfigMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getFetchConfigMethod = PeerGrpc.getFetchConfigMethod) == null) {
          PeerGrpc.getFetchConfigMethod = getFetchConfigMethod =
              io.grpc.MethodDescriptor.<org.cactusshift.messages.FetchConfigRequest, org.cactusshift.messages.FetchConfigResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FetchConfig"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.FetchConfigRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.FetchConfigResponse.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("FetchConfig"))
              .build();
        }
      }
    }
    return getFetchConfigMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.cactusshift.messages.WatchConfigRequest,
      org.cactusshift.messages.ConfigVersion> getWatchConfigMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "WatchConfig",
      requestType = org.cactusshift.messages.WatchConfigRequest.class,
      responseType = org.cactusshift.messages.ConfigVersion.class,
      methodType = io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
  public static io.grpc.MethodDescriptor<org.cactusshift.messages.WatchConfigRequest,
      org.cactusshift.messages.ConfigVersion> getWatchConfigMethod() {
    io.grpc.MethodDescriptor<org.cactusshift.messages.WatchConfigRequest, org.cactusshift.messages.ConfigVersion> getWatchConfigMethod;
    if ((getWatchConfigMethod = PeerGrpc.getWatchConfigMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getWatchConfigMethod = PeerGrpc.getWatchConfigMethod) == null) {
          PeerGrpc.getWatchConfigMethod = getWatchConfigMethod =
              io.grpc.MethodDescriptor.<org.cactusshift.messages.WatchConfigRequest, org.cactusshift.messages.ConfigVersion>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "WatchConfig"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.WatchConfigRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.ConfigVersion.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("WatchConfig"))
              .build();
        }
      }
    }
    return getWatchConfigMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.cactusshift.messages.ClaimRequest,
      org.cactusshift.messages.ClaimResponse> getClaimMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Claim",
      requestType = org.cactusshift.messages.ClaimRequest.class,
      responseType = org.cactusshift.messages.ClaimResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.cactusshift.messages.ClaimRequest,
      org.cactusshift.messages.ClaimResponse> getClaimMethod() {
    io.grpc.MethodDescriptor<org.cactusshift.messages.ClaimRequest, org.cactusshift.messages.ClaimResponse> getClaimMethod;
    if ((getClaimMethod = PeerGrpc.getClaimMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getClaimMethod = PeerGrpc.getClaimMethod) == null) {
          PeerGrpc.getClaimMethod = getClaimMethod =
              io.grpc.MethodDescriptor.<org.cactusshift.messages.ClaimRequest, org.cactusshift.messages.ClaimResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Claim"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.ClaimRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.ClaimResponse.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Claim"))
              .build();
        }
      }
    }
    return getClaimMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.cactusshift.messages.RecordOutcomeRequest,
      org.cactusshift.messages.RecordOutcomeResponse> getRecordOutcomeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "RecordOutcome",
      requestType = org.cactusshift.messages.RecordOutcomeRequest.class,
      responseType = org.cactusshift.messages.RecordOutcomeResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.cactusshift.messages.RecordOutcomeRequest,
      org.cactusshift.messages.RecordOutcomeResponse> getRecordOutcomeMethod() {
    io.grpc.MethodDescriptor<org.cactusshift.messages.RecordOutcomeRequest, org.cactusshift.messages.RecordOutcomeResponse> getRecordOutcomeMethod;
    if ((getRecordOutcomeMethod = PeerGrpc.getRecordOutcomeMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getRecordOutcomeMethod = PeerGrpc.getRecordOutcomeMethod) == null) {
          PeerGrpc.getRecordOutcomeMethod = getRecordOutcomeMethod =
              io.grpc.MethodDescriptor.<org.cactusshift.messages.RecordOutcomeRequest, org.cactusshift.messages.RecordOutcomeResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "RecordOutcome"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.RecordOutcomeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.RecordOutcomeResponse.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("RecordOutcome"))
              .build();
        }
      }
    }
    return getRecordOutcomeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.cactusshift.messages.UsageBatch,
      org.cactusshift.messages.UsageAck> getHandOverUsageMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "HandOverUsage",
      requestType = org.cactusshift.messages.UsageBatch.class,
      responseType = org.cactusshift.messages.UsageAck.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.cactusshift.messages.UsageBatch,
      org.cactusshift.messages.UsageAck> getHandOverUsageMethod() {
    io.grpc.MethodDescriptor<org.cactusshift.messages.UsageBatch, org.cactusshift.messages.UsageAck> getHandOverUsageMethod;
    if ((getHandOverUsageMethod = PeerGrpc.getHandOverUsageMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getHandOverUsageMethod = PeerGrpc.getHandOverUsageMethod) == null) {
          PeerGrpc.getHandOverUsageMethod = getHandOverUsageMethod =
              io.grpc.MethodDescriptor.<org.cactusshift.messages.UsageBatch, org.cactusshift.messages.UsageAck>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "HandOverUsage"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.UsageBatch.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.UsageAck.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("HandOverUsage"))
              .build();
        }
      }
    }
    return getHandOverUsageMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.cactusshift.messages.DrainRequest,
      org.cactusshift.messages.DrainStatus> getAcknowledgeDrainMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "AcknowledgeDrain",
      requestType = org.cactusshift.messages.DrainRequest.class,
      responseType = org.cactusshift.messages.DrainStatus.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.cactusshift.messages.DrainRequest,
      org.cactusshift.messages.DrainStatus> getAcknowledgeDrainMethod() {
    io.grpc.MethodDescriptor<org.cactusshift.messages.DrainRequest, org.cactusshift.messages.DrainStatus> getAcknowledgeDrainMethod;
    if ((getAcknowledgeDrainMethod = PeerGrpc.getAcknowledgeDrainMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getAcknowledgeDrainMethod = PeerGrpc.getAcknowledgeDrainMethod) == null) {
          PeerGrpc.getAcknowledgeDrainMethod = getAcknowledgeDrainMethod =
              io.grpc.MethodDescriptor.<org.cactusshift.messages.DrainRequest, org.cactusshift.messages.DrainStatus>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "AcknowledgeDrain"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.DrainRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cactusshift.messages.DrainStatus.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("AcknowledgeDrain"))
              .build();
        }
      }
    }
    return getAcknowledgeDrainMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerStub>() {
        @java.lang.Override
        public PeerStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerStub(channel, callOptions);
        }
      };
    return PeerStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static PeerBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub>() {
        @java.lang.Override
        public PeerBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingV2Stub(channel, callOptions);
        }
      };
    return PeerBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub>() {
        @java.lang.Override
        public PeerBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingStub(channel, callOptions);
        }
      };
    return PeerBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub>() {
        @java.lang.Override
        public PeerFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerFutureStub(channel, callOptions);
        }
      };
    return PeerFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Service that every node offers to its peers, the other nodes of the site.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Exchanges heartbeats; each side receives the incarnation, configuration version and load summary of the other.
     * </pre>
     */
    default void heartbeat(org.cactusshift.messages.HeartbeatRequest request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.HeartbeatResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getHeartbeatMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns the configuration parts that the requesting peer lacks; none when it has the newest version of this node.
     * </pre>
     */
    default void fetchConfig(org.cactusshift.messages.FetchConfigRequest request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.FetchConfigResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchConfigMethod(), responseObserver);
    }

    /**
     * <pre>
     * Streams configuration versions as the node installs them.
     * </pre>
     */
    default void watchConfig(org.cactusshift.messages.WatchConfigRequest request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.ConfigVersion> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getWatchConfigMethod(), responseObserver);
    }

    /**
     * <pre>
     * Claims non-repeatable calls at the owner of their claim shard before they are dispatched.
     * </pre>
     */
    default void claim(org.cactusshift.messages.ClaimRequest request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.ClaimResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getClaimMethod(), responseObserver);
    }

    /**
     * <pre>
     * Records the outcomes of claimed calls at the owner of their claim shard.
     * </pre>
     */
    default void recordOutcome(org.cactusshift.messages.RecordOutcomeRequest request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.RecordOutcomeResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRecordOutcomeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Hands usage counts over to the holder of their usage shard.
     * </pre>
     */
    default void handOverUsage(org.cactusshift.messages.UsageBatch request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.UsageAck> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getHandOverUsageMethod(), responseObserver);
    }

    /**
     * <pre>
     * Acknowledges the drain of an upstream and returns the number of requests that the node has in flight on it.
     * </pre>
     */
    default void acknowledgeDrain(org.cactusshift.messages.DrainRequest request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.DrainStatus> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getAcknowledgeDrainMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Peer.
   * <pre>
   * Service that every node offers to its peers, the other nodes of the site.
   * </pre>
   */
  public static abstract class PeerImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PeerGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Peer.
   * <pre>
   * Service that every node offers to its peers, the other nodes of the site.
   * </pre>
   */
  public static final class PeerStub
      extends io.grpc.stub.AbstractAsyncStub<PeerStub> {
    private PeerStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges heartbeats; each side receives the incarnation, configuration version and load summary of the other.
     * </pre>
     */
    public void heartbeat(org.cactusshift.messages.HeartbeatRequest request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.HeartbeatResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getHeartbeatMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns the configuration parts that the requesting peer lacks; none when it has the newest version of this node.
     * </pre>
     */
    public void fetchConfig(org.cactusshift.messages.FetchConfigRequest request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.FetchConfigResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFetchConfigMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Streams configuration versions as the node installs them.
     * </pre>
     */
    public void watchConfig(org.cactusshift.messages.WatchConfigRequest request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.ConfigVersion> responseObserver) {
      io.grpc.stub.ClientCalls.asyncServerStreamingCall(
          getChannel().newCall(getWatchConfigMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Claims non-repeatable calls at the owner of their claim shard before they are dispatched.
     * </pre>
     */
    public void claim(org.cactusshift.messages.ClaimRequest request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.ClaimResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getClaimMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Records the outcomes of claimed calls at the owner of their claim shard.
     * </pre>
     */
    public void recordOutcome(org.cactusshift.messages.RecordOutcomeRequest request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.RecordOutcomeResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRecordOutcomeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Hands usage counts over to the holder of their usage shard.
     * </pre>
     */
    public void handOverUsage(org.cactusshift.messages.UsageBatch request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.UsageAck> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getHandOverUsageMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Acknowledges the drain of an upstream and returns the number of requests that the node has in flight on it.
     * </pre>
     */
    public void acknowledgeDrain(org.cactusshift.messages.DrainRequest request,
        io.grpc.stub.StreamObserver<org.cactusshift.messages.DrainStatus> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getAcknowledgeDrainMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Peer.
   * <pre>
   * Service that every node offers to its peers, the other nodes of the site.
   * </pre>
   */
  public static final class PeerBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingV2Stub> {
    private PeerBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges heartbeats; each side receives the incarnation, configuration version and load summary of the other.
     * </pre>
     */
    public org.cactusshift.messages.HeartbeatResponse heartbeat(org.cactusshift.messages.HeartbeatRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getHeartbeatMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the configuration parts that the requesting peer lacks; none when it has the newest version of this node.
     * </pre>
     */
    public org.cactusshift.messages.FetchConfigResponse fetchConfig(org.cactusshift.messages.FetchConfigRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getFetchConfigMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Streams configuration versions as the node installs them.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<?, org.cactusshift.messages.ConfigVersion>
        watchConfig(org.cactusshift.messages.WatchConfigRequest request) {
      return io.grpc.stub.ClientCalls.blockingV2ServerStreamingCall(
          getChannel(), getWatchConfigMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Claims non-repeatable calls at the owner of their claim shard before they are dispatched.
     * </pre>
     */
    public org.cactusshift.messages.ClaimResponse claim(org.cactusshift.messages.ClaimRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getClaimMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Records the outcomes of claimed calls at the owner of their claim shard.
     * </pre>
     */
    public org.cactusshift.messages.RecordOutcomeResponse recordOutcome(org.cactusshift.messages.RecordOutcomeRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getRecordOutcomeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Hands usage counts over to the holder of their usage shard.
     * </pre>
     */
    public org.cactusshift.messages.UsageAck handOverUsage(org.cactusshift.messages.UsageBatch request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getHandOverUsageMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Acknowledges the drain of an upstream and returns the number of requests that the node has in flight on it.
     * </pre>
     */
    public org.cactusshift.messages.DrainStatus acknowledgeDrain(org.cactusshift.messages.DrainRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getAcknowledgeDrainMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Peer.
   * <pre>
   * Service that every node offers to its peers, the other nodes of the site.
   * </pre>
   */
  public static final class PeerBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingStub> {
    private PeerBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges heartbeats; each side receives the incarnation, configuration version and load summary of the other.
     * </pre>
     */
    public org.cactusshift.messages.HeartbeatResponse heartbeat(org.cactusshift.messages.HeartbeatRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getHeartbeatMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the configuration parts that the requesting peer lacks; none when it has the newest version of this node.
     * </pre>
     */
    public org.cactusshift.messages.FetchConfigResponse fetchConfig(org.cactusshift.messages.FetchConfigRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchConfigMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Streams configuration versions as the node installs them.
     * </pre>
     */
    public java.util.Iterator<org.cactusshift.messages.ConfigVersion> watchConfig(
        org.cactusshift.messages.WatchConfigRequest request) {
      return io.grpc.stub.ClientCalls.blockingServerStreamingCall(
          getChannel(), getWatchConfigMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Claims non-repeatable calls at the owner of their claim shard before they are dispatched.
     * </pre>
     */
    public org.cactusshift.messages.ClaimResponse claim(org.cactusshift.messages.ClaimRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getClaimMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Records the outcomes of claimed calls at the owner of their claim shard.
     * </pre>
     */
    public org.cactusshift.messages.RecordOutcomeResponse recordOutcome(org.cactusshift.messages.RecordOutcomeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRecordOutcomeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Hands usage counts over to the holder of their usage shard.
     * </pre>
     */
    public org.cactusshift.messages.UsageAck handOverUsage(org.cactusshift.messages.UsageBatch request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getHandOverUsageMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Acknowledges the drain of an upstream and returns the number of requests that the node has in flight on it.
     * </pre>
     */
    public org.cactusshift.messages.DrainStatus acknowledgeDrain(org.cactusshift.messages.DrainRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getAcknowledgeDrainMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Peer.
   * <pre>
   * Service that every node offers to its peers, the other nodes of the site.
   * </pre>
   */
  public static final class PeerFutureStub
      extends io.grpc.stub.AbstractFutureStub<PeerFutureStub> {
    private PeerFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges heartbeats; each side receives the incarnation, configuration version and load summary of the other.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.cactusshift.messages.HeartbeatResponse> heartbeat(
        org.cactusshift.messages.HeartbeatRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getHeartbeatMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns the configuration parts that the requesting peer lacks; none when it has the newest version of this node.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.cactusshift.messages.FetchConfigResponse> fetchConfig(
        org.cactusshift.messages.FetchConfigRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFetchConfigMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Claims non-repeatable calls at the owner of their claim shard before they are dispatched.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.cactusshift.messages.ClaimResponse> claim(
        org.cactusshift.messages.ClaimRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getClaimMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Records the outcomes of claimed calls at the owner of their claim shard.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.cactusshift.messages.RecordOutcomeResponse> recordOutcome(
        org.cactusshift.messages.RecordOutcomeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRecordOutcomeMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Hands usage counts over to the holder of their usage shard.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.cactusshift.messages.UsageAck> handOverUsage(
        org.cactusshift.messages.UsageBatch request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getHandOverUsageMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Acknowledges the drain of an upstream and returns the number of requests that the node has in flight on it.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.cactusshift.messages.DrainStatus> acknowledgeDrain(
        org.cactusshift.messages.DrainRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getAcknowledgeDrainMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_HEARTBEAT = 0;
  private static final int METHODID_FETCH_CONFIG = 1;
  private static final int METHODID_WATCH_CONFIG = 2;
  private static final int METHODID_CLAIM = 3;
  private static final int METHODID_RECORD_OUTCOME = 4;
  private static final int METHODID_HAND_OVER_USAGE = 5;
  private static final int METHODID_ACKNOWLEDGE_DRAIN = 6;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_HEARTBEAT:
          serviceImpl.heartbeat((org.cactusshift.messages.HeartbeatRequest) request,
              (io.grpc.stub.StreamObserver<org.cactusshift.messages.HeartbeatResponse>) responseObserver);
          break;
        case METHODID_FETCH_CONFIG:
          serviceImpl.fetchConfig((org.cactusshift.messages.FetchConfigRequest) request,
              (io.grpc.stub.StreamObserver<org.cactusshift.messages.FetchConfigResponse>) responseObserver);
          break;
        case METHODID_WATCH_CONFIG:
          serviceImpl.watchConfig((org.cactusshift.messages.WatchConfigRequest) request,
              (io.grpc.stub.StreamObserver<org.cactusshift.messages.ConfigVersion>) responseObserver);
          break;
        case METHODID_CLAIM:
          serviceImpl.claim((org.cactusshift.messages.ClaimRequest) request,
              (io.grpc.stub.StreamObserver<org.cactusshift.messages.ClaimResponse>) responseObserver);
          break;
        case METHODID_RECORD_OUTCOME:
          serviceImpl.recordOutcome((org.cactusshift.messages.RecordOutcomeRequest) request,
              (io.grpc.stub.StreamObserver<org.cactusshift.messages.RecordOutcomeResponse>) responseObserver);
          break;
        case METHODID_HAND_OVER_USAGE:
          serviceImpl.handOverUsage((org.cactusshift.messages.UsageBatch) request,
              (io.grpc.stub.StreamObserver<org.cactusshift.messages.UsageAck>) responseObserver);
          break;
        case METHODID_ACKNOWLEDGE_DRAIN:
          serviceImpl.acknowledgeDrain((org.cactusshift.messages.DrainRequest) request,
              (io.grpc.stub.StreamObserver<org.cactusshift.messages.DrainStatus>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getHeartbeatMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.cactusshift.messages.HeartbeatRequest,
              org.cactusshift.messages.HeartbeatResponse>(
                service, METHODID_HEARTBEAT)))
        .addMethod(
          getFetchConfigMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.cactusshift.messages.FetchConfigRequest,
              org.cactusshift.messages.FetchConfigResponse>(
                service, METHODID_FETCH_CONFIG)))
        .addMethod(
          getWatchConfigMethod(),
          io.grpc.stub.ServerCalls.asyncServerStreamingCall(
            new MethodHandlers<
              org.cactusshift.messages.WatchConfigRequest,
              org.cactusshift.messages.ConfigVersion>(
                service, METHODID_WATCH_CONFIG)))
        .addMethod(
          getClaimMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.cactusshift.messages.ClaimRequest,
              org.cactusshift.messages.ClaimResponse>(
                service, METHODID_CLAIM)))
        .addMethod(
          getRecordOutcomeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.cactusshift.messages.RecordOutcomeRequest,
              org.cactusshift.messages.RecordOutcomeResponse>(
                service, METHODID_RECORD_OUTCOME)))
        .addMethod(
          getHandOverUsageMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.cactusshift.messages.UsageBatch,
              org.cactusshift.messages.UsageAck>(
                service, METHODID_HAND_OVER_USAGE)))
        .addMethod(
          getAcknowledgeDrainMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.cactusshift.messages.DrainRequest,
              org.cactusshift.messages.DrainStatus>(
                service, METHODID_ACKNOWLEDGE_DRAIN)))
        .build();
  }

  private static abstract class PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.cactusshift.messages.PeerOuterClass.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Peer");
    }
  }

  private static final class PeerFileDescriptorSupplier
      extends PeerBaseDescriptorSupplier {
    PeerFileDescriptorSupplier() {}
  }

  private static final class PeerMethodDescriptorSupplier
      extends PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PeerMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (PeerGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerFileDescriptorSupplier())
              .addMethod(getHeartbeatMethod())
              .addMethod(getFetchConfigMethod())
              .addMethod(getWatchConfigMethod())
              .addMethod(getClaimMethod())
              .addMethod(getRecordOutcomeMethod())
              .addMethod(getHandOverUsageMethod())
              .addMethod(getAcknowledgeDrainMethod())
              .build();
        }
      }
    }
    return result;
  }
}
