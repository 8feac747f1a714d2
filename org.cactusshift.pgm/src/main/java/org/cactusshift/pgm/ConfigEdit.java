package org.cactusshift.pgm;

import org.apache.commons.cli.CommandLine;
import org.cactusshift.config.ConfigLoader;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.configsync.ApplyResult;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;

/** A small change of the accepted configuration that is made again when another change came first. */
@FunctionalInterface
interface ConfigEdit {
    /** The most attempts before the command gives up. */
    int MAXIMUM_ATTEMPTS = 5;

    /** Returns the changed configuration. */
    SiteConfig edit(SiteConfig accepted) throws CactusshiftException;

    /** Makes the change and returns the version that it was accepted as. */
    default long applyWithRetry(StoreSession session, CommandLine line, String comment) throws CactusshiftException {
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            VersionedConfig accepted = session.current();
            SiteConfig changed = ConfigLoader.create().validate("accepted configuration", edit(accepted.config()));
            ApplyResult result = StoreSession.getOrThrow(session.apply(line, comment)
                    .setConfig(changed)
                    .setBaseVersion(accepted.version())
                    .call());
            if (result.outcome() != ApplyResult.Outcome.CONFLICT) {
                return result.version();
            }
        }
        throw new CactusshiftException(Failure.noEffect(
                "apply configuration", "key-value service", "other changes came first " + MAXIMUM_ATTEMPTS + " times"));
    }
}
