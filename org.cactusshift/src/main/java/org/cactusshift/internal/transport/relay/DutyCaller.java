package org.cactusshift.internal.transport.relay;

import java.util.function.BooleanSupplier;
import org.cactusshift.id.InstanceId;

/**
 * The holder of a duty as the sender of a call that only a holder may send.
 *
 * @param node the node
 * @param fencingNumber the fencing number of its authority
 * @param holdsDuty whether it still holds the duty under this number; asked just before the call is sent, as a
 *     connection may take long to open
 */
public record DutyCaller(InstanceId node, long fencingNumber, BooleanSupplier holdsDuty) {}
