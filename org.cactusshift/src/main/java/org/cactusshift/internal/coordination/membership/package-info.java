/**
 * Membership: which instances exist and respond, by the platform's list and heartbeats between nodes. Provides
 * suspicion, never authority.
 */
package org.cactusshift.internal.coordination.membership;
