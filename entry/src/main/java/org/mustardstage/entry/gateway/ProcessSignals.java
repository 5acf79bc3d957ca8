package org.mustardstage.entry.gateway;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/** Handles the signal to reload the settings (SIGHUP), where the JVM supports it. */
final class ProcessSignals {
  private ProcessSignals() {}

  /** Runs {@code action} on SIGHUP, in place of the JVM's default action, which is to exit. */
  static void setReloadHandler(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) -> {
                action.run();
                return null;
              });
      Object hangup = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
    } catch (ClassNotFoundException
        | NoSuchMethodException
        | InstantiationException
        | IllegalAccessException
        | InvocationTargetException e) {
      System.err.println("mustardstage: can't handle SIGHUP, so settings can't be reloaded: " + e);
    }
  }
}
