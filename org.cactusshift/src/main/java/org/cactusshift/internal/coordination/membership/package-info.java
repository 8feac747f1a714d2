/**
 * Which instances exist and answer: the platform's list and heartbeats between nodes. Gives suspicion, never authority.
 */
package org.cactusshift.internal.coordination.membership;
