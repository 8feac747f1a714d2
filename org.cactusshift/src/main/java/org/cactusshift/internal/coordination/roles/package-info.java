/**
 * Planning of engine roles (prefill, decode or mixed) from the measured demand, as used by the replay; the relay uses
 * {@link org.cactusshift.internal.coordination.serving.StagePlanner}.
 */
package org.cactusshift.internal.coordination.roles;
