/**
 * HTTP clients of the platform's interfaces for the instance list, usage reports and upstream orders, and of the
 * engines' order interface.
 */
package org.cactusshift.internal.transport.platform;
